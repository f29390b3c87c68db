//! Inputs of a service.

use super::ClassKey;
use std::time::Instant;

/// A call that a caller has sent.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Class that the call belongs to.
    pub class: ClassKey,
    /// Time by which the first byte of the answer has to be there.
    pub deadline: Instant,
    /// False if the request body cannot be sent a second time.
    pub is_replayable: bool,
}

/// How an attempt ended that gave no answer to hand on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered that it did not take the request.
    Shed,
    /// A level below refused the request unrun and retried as far as it may.
    Declined,
    /// No connection could be opened, so nothing was sent.
    Refused,
    /// The connection ended after the request was sent.
    Broken,
    /// The connection ended and the request is quarantined for it by now.
    Quarantined,
    /// The connection gave no byte for the silence time.
    Silent,
    /// The deadline of the call passed.
    TimedOut,
    /// The work was given up before anything was sent.
    Withdrawn,
}

impl Outcome {
    /// Returns true if the target has certainly not run the request.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::Shed | Self::Declined | Self::Refused | Self::Withdrawn
        )
    }

    /// Returns true if the outcome speaks against the target.
    pub fn is_target_failure(self) -> bool {
        matches!(self, Self::Refused | Self::Broken | Self::Silent)
    }

    /// Returns the word used in events and traces.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Shed => "shed",
            Self::Declined => "declined",
            Self::Refused => "refused",
            Self::Broken => "broken",
            Self::Quarantined => "quarantined",
            Self::Silent => "silent",
            Self::TimedOut => "timed-out",
            Self::Withdrawn => "withdrawn",
        }
    }
}

/// What a target says about itself on an answer or a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Requests that the target holds, the answered one included.
    pub in_flight: u16,
    /// Slots that the target says it has.
    pub slots: Option<u16>,
    /// True if the target is going to stop.
    pub is_leaving: bool,
    /// Time that work takes on the target's machine now, in percent of the
    /// usual one, if it says so.
    pub work_percent: Option<u16>,
}
