//! Targets that come and go by what they register.
//!
//! docs/decisions/0013-platform.md lists the cases.

mod directory;
mod entry;
mod refresh;

pub use directory::Directory;
pub use entry::{Incarnation, TargetEntry};
pub use refresh::{Refresh, Relayed};
