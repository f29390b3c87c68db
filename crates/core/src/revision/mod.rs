//! Revisions of the operators' file.
//!
//! docs/decisions/0007-configuration.md explains the log of revisions.

mod log;
mod record;
mod submission;

pub use log::{RevisionLog, RevisionUpdate};
pub use record::RevisionRecord;
pub use submission::{Submission, SubmissionAction, SubmissionInput, Verdict};
