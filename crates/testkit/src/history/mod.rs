//! Runs of a fleet with seeded faults, and checks of their histories.

mod check;
mod record;
mod run;

pub use check::{Violation, check_history};
pub use record::{History, Leave, RevisionSample, SubmissionResult};
pub use run::run_history;
