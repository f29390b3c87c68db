//! Workspaces: the customers whose callers send requests with keys.
//!
//! docs/design/0024-workspaces.md and 0025-withdrawn-keys.md give the reasons, and
//! 0026-limits-of-workspaces.md those of limits.

mod credential;
mod fault;
mod key;
mod key_index;
mod limits;
mod proof;
mod proofs;
mod spec;
mod store_clock;
mod table;

pub use credential::parse_credential;
pub use fault::WorkspaceFault;
pub use key::WorkspaceKey;
pub use limits::{
    Admission, FleetLimits, LimitMember, LimitMessage, LimitTerms, MemberMessage, MemberReply,
    SpentToken, TokenAsk, TokenGrant,
};
pub use proof::ConfigProof;
pub use proofs::Proofs;
pub use spec::{RateLimit, WorkspaceSpec};
pub use store_clock::{StoreClock, StoreTime};
pub use table::WorkspaceTable;
