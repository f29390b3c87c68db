//! Workspaces: the customers whose callers send requests with keys.
//!
//! docs/decisions/0024-workspaces.md gives the reasons.

mod credential;
mod fault;
mod key;
mod key_index;
mod limits;
mod proof;
mod spec;
mod table;

pub use credential::parse_credential;
pub use fault::WorkspaceFault;
pub use key::WorkspaceKey;
pub use limits::{
    Admission, FleetLimits, LimitMember, LimitMessage, LimitTerms, SpentToken, TokenAsk, TokenGrant,
};
pub use proof::ConfigProof;
pub use spec::{RateLimit, WorkspaceSpec};
pub use table::WorkspaceTable;
