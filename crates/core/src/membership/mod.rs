//! Which VMs are live, from three sources that disagree.
//!
//! The rules are listed in docs/decisions/0010-membership.md.

mod bytes;
mod gossip;
mod heartbeat;
mod notices;
mod view;

pub use bytes::ByteBudget;
pub use gossip::{Partners, Roster};
pub use heartbeat::{Heartbeat, PeerView, Pulse};
pub use notices::{TargetNotice, TargetNotices};
pub use view::{Membership, PeerState, PlatformState};
