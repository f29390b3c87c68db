//! What is known about the platform's store: its versions and its eras.
//!
//! docs/design/0028-eras-of-the-store.md explains how the state of a VM survives the return
//! of the store from an older copy.

mod era;
mod version;

pub use era::{EraNotice, EraOrder, StoreEra};
pub use version::StoreVersion;
