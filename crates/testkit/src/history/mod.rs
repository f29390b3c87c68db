//! History checking of concurrent runs with seeded faults.

mod check;
mod record;
mod run;

pub use check::{Violation, check_history};
pub use record::{History, Leave, RevisionSample, SubmissionResult};
pub use run::run_history;
