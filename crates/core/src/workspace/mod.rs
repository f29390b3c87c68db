//! Workspaces: the customers whose callers send requests with keys.

mod key;
mod proof;
mod spec;
mod table;

pub use key::WorkspaceKey;
pub use proof::ConfigProof;
pub use spec::{RateLimit, WorkspaceSpec};
pub use table::WorkspaceTable;
