//! Limits of workspaces over the fleet.
//!
//! Each limit is divided beforehand into parts that a few VMs hold, and VMs that need more ask
//! those for tokens. A VM holds nothing until all others that may hold parts count it. docs/design/0026-limits-of-workspaces.md has the reasons and the arithmetic.

mod admission;
mod borrowed;
mod bucket;
mod byte_budget;
mod contention;
mod decaying_rate;
mod declared;
mod exchange;
mod introduction;
mod machine;
mod member;
mod member_exchange;
mod member_message;
mod members;
mod message;
mod pending;
mod source;
mod state;
mod terms;

pub use admission::{Admission, SpentToken};
pub use machine::FleetLimits;
pub use member::LimitMember;
pub use member_message::{MemberMessage, MemberReply};
pub use message::{LimitMessage, TokenAsk, TokenGrant};
pub use terms::LimitTerms;
