//! Outputs of a service.

use super::{AttemptKey, CallKey, TargetKey};
use crate::{EventKind, ResultCode};

/// Why an attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// First attempt of a call.
    First,
    /// Repeat after an attempt failed.
    Retry,
    /// Second attempt while a slow one still runs.
    Hedge,
    /// First attempt, sent to an ejected target to test whether it has recovered.
    Trial,
}

impl AttemptKind {
    /// Returns the word used in traces.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
            Self::Trial => "trial",
        }
    }
}

/// Action that the process has to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send the request of `call` to `target`.
    Dispatch {
        /// Call to send.
        call: CallKey,
        /// Attempt to which later inputs refer.
        attempt: AttemptKey,
        /// Target to send to.
        target: TargetKey,
        /// Why the attempt is made.
        kind: AttemptKind,
    },
    /// Forward the answer of `attempt` to the caller of `call`.
    Deliver {
        /// Call that is answered.
        call: CallKey,
        /// Attempt that answered.
        attempt: AttemptKey,
    },
    /// Refuse `call`, which has been removed from the service.
    Refuse {
        /// Call that is refused.
        call: CallKey,
        /// Reason of the refusal.
        code: ResultCode,
    },
    /// Abort `attempt`; no further input about it is needed.
    Cancel {
        /// Call of the attempt; it may have ended.
        call: CallKey,
        /// Attempt to abort.
        attempt: AttemptKey,
    },
    /// Send `target` a load request.
    Sample {
        /// Target of the load request.
        target: TargetKey,
    },
    /// Record a change of state.
    Event(EventKind),
}
