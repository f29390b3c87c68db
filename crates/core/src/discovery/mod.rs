//! Discovery of targets by what they register in the store.
//!
//! docs/decisions/0013-platform.md lists the cases.

mod departed;
mod directory;
mod emptied_domains;
mod entry;
mod evacuations;
mod known_target;
mod leaving;
mod list;
mod list_domains;
mod paused;
mod refresh;
mod turn;
mod update;
mod update_log;

pub use directory::Directory;
pub use emptied_domains::EmptiedDomains;
pub use entry::{Incarnation, TargetEntry};
pub use evacuations::Evacuations;
pub use leaving::LeavingTargets;
pub use list::{AppliedRead, SendCheck, TargetList};
pub use paused::PausedTargets;
pub use refresh::{RefreshTimer, UpdateOutcome};
pub use turn::ReadTurn;
pub use update::{TargetListRead, TargetListUpdate, UpdateContent};
pub use update_log::UpdateLog;
