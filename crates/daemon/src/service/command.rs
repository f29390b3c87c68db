//! What a service tells the task of one call.

use gentianridge_core::{AttemptKey, AttemptKind, ResultCode, TargetKey};

/// One step for the task that holds a call.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Command {
    /// Send the request to the target.
    Dispatch {
        attempt: AttemptKey,
        target: TargetKey,
        kind: AttemptKind,
    },
    /// Hand the answer of the attempt on.
    Deliver { attempt: AttemptKey },
    /// Abort the attempt; the call goes on with another one.
    Cancel { attempt: AttemptKey },
    /// Refuse the call.
    Refuse(ResultCode),
}
