//! The steps of accepting one submitted file.

use super::RevisionRecord;
use std::time::{Duration, Instant};

/// What the store or a timer said.
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
    /// The store did not answer; the insert may have taken effect if `is_open`.
    StoreFailed {
        /// True if the operation may have taken effect.
        is_open: bool,
    },
    /// The time asked for by [`SubmissionAction::Wait`] has passed.
    Timer,
}

/// What the process has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmissionAction {
    /// Insert the record as a new row.
    Insert(RevisionRecord),
    /// Read the row with the record's number.
    Read,
    /// Come back with [`SubmissionInput::Timer`] after the time.
    Wait(Duration),
    /// Tell the operator.
    Finish(Verdict),
}

/// What became of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The file is the revision.
    Accepted(RevisionRecord),
    /// Another file was accepted first.
    Overtaken(RevisionRecord),
    /// The store did not take the file.
    StoreUnavailable,
    /// Whether the file was accepted cannot be told now.
    Unknown,
}

/// One submission until it is accepted, rejected or unknown.
///
/// The insert of the row with the next number is the acceptance, so two
/// operators who race can never both succeed, and a lost reply is settled by
/// reading the submission's name back.
#[derive(Debug)]
pub struct Submission {
    record: RevisionRecord,
    give_up: Instant,
    is_open: bool,
}

impl Submission {
    /// Pause between two tries.
    pub const PAUSE: Duration = Duration::from_millis(100);

    /// Creates the machine for a record whose number is the base plus one.
    pub fn new(record: RevisionRecord, give_up: Instant) -> Self {
        Self {
            record,
            give_up,
            is_open: false,
        }
    }

    /// Takes in what happened and returns what to do next.
    pub fn step(&mut self, now: Instant, input: SubmissionInput) -> SubmissionAction {
        match input {
            SubmissionInput::Begin => SubmissionAction::Insert(self.record.clone()),
            SubmissionInput::Written => self.accepted(),
            SubmissionInput::Conflict | SubmissionInput::Timer => SubmissionAction::Read,
            SubmissionInput::Read(Some(record)) => self.judge(record),
            SubmissionInput::Read(None) if now >= self.give_up => self.give_up(),
            SubmissionInput::Read(None) => SubmissionAction::Insert(self.record.clone()),
            SubmissionInput::StoreFailed { is_open } => {
                self.is_open |= is_open;
                self.pause(now)
            }
        }
    }

    fn judge(&self, record: RevisionRecord) -> SubmissionAction {
        if record.submission == self.record.submission {
            return self.accepted();
        }
        SubmissionAction::Finish(Verdict::Overtaken(record))
    }

    fn accepted(&self) -> SubmissionAction {
        SubmissionAction::Finish(Verdict::Accepted(self.record.clone()))
    }

    fn pause(&self, now: Instant) -> SubmissionAction {
        if now >= self.give_up {
            return self.give_up();
        }
        SubmissionAction::Wait(Self::PAUSE)
    }

    fn give_up(&self) -> SubmissionAction {
        let verdict = if self.is_open {
            Verdict::Unknown
        } else {
            Verdict::StoreUnavailable
        };
        SubmissionAction::Finish(verdict)
    }
}
