//! State machine that gets one submitted file accepted.

use super::RevisionRecord;
use std::time::{Duration, Instant};

/// Event from the store or a timer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmissionInput {
    /// The file was checked and may be offered to the store.
    Begin,
    /// The conditional insert took effect.
    Written,
    /// A row with this number exists.
    Conflict,
    /// The row was read.
    Read(Option<RevisionRecord>),
    /// The operation of the store failed.
    StoreFailed {
        /// True if the operation may have taken effect.
        is_open: bool,
    },
    /// The time requested by [`SubmissionAction::Wait`] has passed.
    Timer,
}

/// Action that the process has to take next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmissionAction {
    /// Insert the record as a new row.
    Insert(RevisionRecord),
    /// Read the row with the record's number.
    Read,
    /// Pass in [`SubmissionInput::Timer`] after the time.
    Wait(Duration),
    /// Report the verdict to the operator.
    Finish(Verdict),
}

/// Result of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The file was accepted as the revision.
    Accepted(RevisionRecord),
    /// Another file was accepted first.
    Overtaken(RevisionRecord),
    /// The store did not accept the file.
    StoreUnavailable,
    /// It is unknown whether the file was accepted.
    Unknown,
}

/// One submission until it is accepted, rejected or unknown.
///
/// A submission is accepted by the insert of the row with the next number, so
/// of two concurrent submissions at most one succeeds. After a lost reply, the
/// submission's name in the row shows which one was accepted.
#[derive(Debug)]
pub struct Submission {
    record: RevisionRecord,
    deadline: Instant,
    is_open: bool,
}

impl Submission {
    /// Pause after a failure of the store.
    pub const PAUSE: Duration = Duration::from_millis(100);

    /// Creates the machine for a record whose number is the base plus one.
    pub fn new(record: RevisionRecord, deadline: Instant) -> Self {
        Self {
            record,
            deadline,
            is_open: false,
        }
    }

    /// Applies an input and returns the next action.
    pub fn step(&mut self, now: Instant, input: SubmissionInput) -> SubmissionAction {
        match input {
            SubmissionInput::Begin => SubmissionAction::Insert(self.record.clone()),
            SubmissionInput::Written => self.finish_accepted(),
            SubmissionInput::Conflict | SubmissionInput::Timer => SubmissionAction::Read,
            SubmissionInput::Read(Some(record)) => self.check_row(record),
            SubmissionInput::Read(None) if now >= self.deadline => self.finish_at_deadline(),
            SubmissionInput::Read(None) => SubmissionAction::Insert(self.record.clone()),
            SubmissionInput::StoreFailed { is_open } => {
                self.is_open |= is_open;
                self.pause(now)
            }
        }
    }

    fn check_row(&self, record: RevisionRecord) -> SubmissionAction {
        if record.submission == self.record.submission {
            return self.finish_accepted();
        }
        SubmissionAction::Finish(Verdict::Overtaken(record))
    }

    fn finish_accepted(&self) -> SubmissionAction {
        SubmissionAction::Finish(Verdict::Accepted(self.record.clone()))
    }

    fn pause(&self, now: Instant) -> SubmissionAction {
        if now >= self.deadline {
            return self.finish_at_deadline();
        }
        SubmissionAction::Wait(Self::PAUSE)
    }

    fn finish_at_deadline(&self) -> SubmissionAction {
        let verdict = if self.is_open {
            Verdict::Unknown
        } else {
            Verdict::StoreUnavailable
        };
        SubmissionAction::Finish(verdict)
    }
}
