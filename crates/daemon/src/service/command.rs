//! Commands from a service to the task of a call.

use gentianridge_core::{AttemptKey, AttemptKind, ResultCode, TargetKey};

/// A command for the task of one call.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Command {
    /// Send the request to the target.
    Dispatch {
        attempt: AttemptKey,
        target: TargetKey,
        kind: AttemptKind,
    },
    /// Forward the answer of the attempt to the caller.
    Deliver { attempt: AttemptKey },
    /// Abort the attempt; the call continues with another one.
    Cancel { attempt: AttemptKey },
    /// Refuse the call.
    Refuse(ResultCode),
}
