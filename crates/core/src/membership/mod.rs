//! Which VMs are live, from three sources that disagree.
//!
//! The rules are listed in docs/decisions/0010-membership.md.

mod bytes;
mod heartbeat;
mod notices;
mod roster;
mod view;

pub use bytes::ByteBudget;
pub use heartbeat::{Heartbeat, PeerView, Pulse};
pub use notices::{TargetNotice, TargetNotices};
pub use roster::{Partners, Roster};
pub use view::{Membership, PeerState, PlatformState};
