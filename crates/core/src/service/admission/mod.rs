//! The order in which calls wait, are refused and go next when a service is full.
//!
//! What was weighed is in docs/design/0027-order-of-admission.md.

mod decide;
mod order;
mod patience;
mod rank;
mod turns;

pub(super) use patience::Patience;
pub(super) use rank::Rank;
pub(super) use turns::{Turn, Turns};
