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
    /// Second attempt beside a slow one.
    Hedge,
    /// First attempt, sent to an ejected target to see whether it works again.
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

/// What the process has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send the request of `call` to `target`.
    Dispatch {
        /// Call to send.
        call: CallKey,
        /// Attempt that later inputs name.
        attempt: AttemptKey,
        /// Target to send to.
        target: TargetKey,
        /// Why the attempt is made.
        kind: AttemptKind,
    },
    /// Hand the answer of `attempt` to the caller of `call`.
    Deliver {
        /// Call that is answered.
        call: CallKey,
        /// Attempt that answered.
        attempt: AttemptKey,
    },
    /// Answer `call` with a refusal; the call is gone from the service.
    Refuse {
        /// Call that is refused.
        call: CallKey,
        /// Reason of the refusal.
        code: ResultCode,
    },
    /// Abort `attempt`; no further input about it is needed.
    Cancel {
        /// Call that the attempt was made for; it may be over.
        call: CallKey,
        /// Attempt to abort.
        attempt: AttemptKey,
    },
    /// Ask `target` for its load.
    Sample {
        /// Target to ask.
        target: TargetKey,
    },
    /// Record a change of state.
    Event(EventKind),
}
