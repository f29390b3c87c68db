//! Inputs of a service.

use super::ClassKey;
use crate::{ClassKind, WorkspaceKey};
use std::time::{Duration, Instant};

/// A new call of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Class that the call belongs to.
    pub class: ClassKey,
    /// Kind of the class. A call whose class was removed since the key was read joins
    /// another class of the kind.
    pub kind: ClassKind,
    /// Time by which the first byte of the answer has to arrive.
    pub deadline: Instant,
    /// Time that the caller says it still waits, if it does.
    pub time_left: Option<Duration>,
    /// False if the request body cannot be sent a second time.
    pub is_replayable: bool,
    /// Workspace of the caller, if the configuration has workspaces.
    pub workspace: Option<WorkspaceKey>,
}

/// How an attempt without an answer to forward ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered that it did not accept the request.
    Shed,
    /// The target answered that it did not accept the request and requested a pause.
    Paused,
    /// The target requested a pause and did not state whether it ran the request.
    PausedUnknown,
    /// The target refused the request unrun after its own retries.
    Declined,
    /// No connection could be opened, so nothing was sent.
    Refused,
    /// The connection ended after the request was sent.
    Broken,
    /// The connection ended and the request has been quarantined since.
    Quarantined,
    /// The connection delivered no byte for the silence time.
    Silent,
    /// The deadline of the call passed.
    TimedOut,
    /// The attempt was withdrawn before anything was sent, because the target left
    /// or is paused.
    Withdrawn,
}

impl Outcome {
    /// Returns true if the target has certainly not run the request.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::Shed | Self::Paused | Self::Declined | Self::Refused | Self::Withdrawn
        )
    }

    /// Returns true if the outcome counts as a failure of the target.
    pub fn is_target_failure(self) -> bool {
        matches!(self, Self::Refused | Self::Broken | Self::Silent)
    }

    /// Returns the word used in events and traces.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Shed => "shed",
            Self::Paused => "paused",
            Self::PausedUnknown => "paused-unknown",
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

/// Load that a target reports with an answer or on a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Requests in flight on the target, including the answered one.
    pub in_flight: u16,
    /// Slots that the target reports.
    pub slots: Option<u16>,
    /// True if the target is going to stop.
    pub is_leaving: bool,
    /// Current work time on the target's machine in percent of the usual one,
    /// if the target reports it.
    pub work_percent: Option<u16>,
}
