//! Targets that come and go by what they register.
//!
//! docs/decisions/0013-platform.md lists the cases.

mod directory;
mod entry;
mod list;
mod refresh;
mod update;

pub use directory::Directory;
pub use entry::{Incarnation, TargetEntry};
pub use list::{TakenReading, TargetList};
pub use refresh::{Refresh, Relayed};
pub use update::{ListNews, Reading};
