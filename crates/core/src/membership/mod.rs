//! Which VMs are live, merged from three sources that can disagree.
//!
//! The rules are listed in docs/decisions/0010-membership.md.

mod bytes;
mod gossip;
mod heartbeat;
mod notice_queue;
mod notices;
mod stall;
mod view;

pub use bytes::ByteBudget;
pub use gossip::{GossipState, RoundPeers};
pub use heartbeat::{Heartbeat, HeartbeatSummary, PeerView};
pub use notice_queue::NoticeQueue;
pub use notices::{TargetNotice, TargetNotices};
pub use stall::StallDetector;
pub use view::{Membership, PeerState, PlatformState};
