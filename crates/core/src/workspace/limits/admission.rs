//! Decisions about single requests.

use super::super::WorkspaceKey;
use std::time::Duration;

/// A token that a request has spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpentToken {
    /// Workspace whose limit the token belongs to.
    pub workspace: WorkspaceKey,
    /// Time from which the token is void if it is given back.
    pub(super) expires: Duration,
}

/// What happens to a request of a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The workspace has no limit.
    Unlimited,
    /// The request may run.
    Admitted(SpentToken),
    /// Peers have been asked for a token; the request waits for their answers.
    Waits,
    /// The limit is reached; there is room after the stated time.
    Refused(Duration),
}
