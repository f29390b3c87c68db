//! Limits of workspaces over the fleet.
//!
//! Each limit is divided beforehand among a few VMs, and VMs that need more ask those for
//! tokens. docs/design/0026-limits-of-workspaces.md has the reasons and the arithmetic.

mod admission;
mod borrowed;
mod bucket;
mod byte_budget;
mod contention;
mod decaying_rate;
mod declared;
mod exchange;
mod machine;
mod member;
mod members;
mod message;
mod pending;
mod source;
mod state;
mod terms;

pub use admission::{Admission, SpentToken};
pub use machine::FleetLimits;
pub use member::LimitMember;
pub use message::{LimitMessage, TokenAsk, TokenGrant};
pub use terms::LimitTerms;
