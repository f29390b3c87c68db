//! Discovery of targets by what they register in the store.
//!
//! docs/decisions/0013-platform.md lists the cases.

mod directory;
mod entry;
mod list;
mod refresh;
mod update;

pub use directory::Directory;
pub use entry::{Incarnation, TargetEntry};
pub use list::{AppliedRead, TargetList};
pub use refresh::{RefreshTimer, UpdateOutcome};
pub use update::{TargetListRead, TargetListUpdate};
