//! The revision in force on one VM.

use super::RevisionRecord;

/// Result of offering a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RevisionUpdate {
    /// The revision is newer and is now in force.
    Adopted,
    /// The revision is already in force.
    Same,
    /// The revision is older than the one in force and is ignored.
    Older,
    /// A different submission is in force under the number, which must never happen.
    Conflicting,
}

/// The revision in force, whose number only increases.
#[derive(Debug, Default)]
pub struct RevisionLog {
    current: Option<RevisionRecord>,
}

impl RevisionLog {
    /// Creates a log with no revision in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision in force.
    pub fn get_current(&self) -> Option<&RevisionRecord> {
        self.current.as_ref()
    }

    /// Returns the number of the revision in force, 0 if there is none.
    pub fn get_number(&self) -> u64 {
        self.current.as_ref().map_or(0, |record| record.number)
    }

    /// Offers a revision from the store or from a peer.
    ///
    /// A stale read, a resumed VM or an outdated peer can offer any revision, so
    /// only one with a larger number is adopted.
    pub fn offer(&mut self, record: RevisionRecord) -> RevisionUpdate {
        let number = self.get_number();
        if record.number < number {
            return RevisionUpdate::Older;
        }
        if record.number > number {
            self.current = Some(record);
            return RevisionUpdate::Adopted;
        }
        let is_same = self
            .current
            .as_ref()
            .is_some_and(|current| current.submission == record.submission);
        if is_same {
            RevisionUpdate::Same
        } else {
            RevisionUpdate::Conflicting
        }
    }
}
