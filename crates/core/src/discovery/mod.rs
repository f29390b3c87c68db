//! Targets that come and go by what they register.
//!
//! docs/decisions/0013-platform.md lists the cases.

mod directory;
mod entry;
mod list;
mod news;
mod refresh;

pub use directory::Directory;
pub use entry::{Incarnation, TargetEntry};
pub use list::{TakenReading, TargetList};
pub use news::{ListNews, Reading};
pub use refresh::{Refresh, Relayed};
