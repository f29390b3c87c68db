//! Which VMs are live, from three sources that disagree.
//!
//! The rules are listed in docs/decisions/0010-membership.md.

mod heartbeat;
mod notices;
mod view;

pub use heartbeat::{Heartbeat, PeerView};
pub use notices::{TargetNotice, TargetNotices};
pub use view::{Membership, PeerState, PlatformState};
