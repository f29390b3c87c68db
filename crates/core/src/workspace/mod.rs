//! Workspaces: the customers whose callers send requests with keys.

mod key;
mod limits;
mod proof;
mod spec;
mod table;

pub use key::WorkspaceKey;
pub use limits::{
    Admission, FleetLimits, LimitMember, LimitMessage, LimitTerms, SpentToken, TokenAsk, TokenGrant,
};
pub use proof::ConfigProof;
pub use spec::{RateLimit, WorkspaceSpec};
pub use table::WorkspaceTable;
