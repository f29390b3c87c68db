//! What is recorded of one run.

use crate::CallResult;
use gentianridge_api::SubmitVerdict;
use std::time::Duration;

/// A submission and what the operator was told.
#[derive(Debug, Clone)]
pub struct SubmissionResult {
    /// Name of the submission.
    pub submission: String,
    /// What the operator was told.
    pub verdict: SubmitVerdict,
    /// Revision named in the answer.
    pub revision: u64,
    /// Time after the start at which the answer came.
    pub at: Duration,
}

/// The revision in force on a VM at a time.
#[derive(Debug, Clone)]
pub struct RevisionSample {
    /// Name of the VM, unique to its process.
    pub vm: String,
    /// Revision in force.
    pub revision: u64,
    /// Time after the start.
    pub at: Duration,
}

/// A target that announced its leave.
#[derive(Debug, Clone)]
pub struct Leave {
    /// Name of the target.
    pub target: String,
    /// Time after the start of the announcement.
    pub announced: Duration,
    /// Time after the start of the last request it got.
    pub last_request: Duration,
}

/// Everything recorded of one run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Calls with what their callers saw.
    pub calls: Vec<CallResult>,
    /// Starts of each key over all targets.
    pub runs: Vec<(String, usize)>,
    /// Submissions.
    pub submissions: Vec<SubmissionResult>,
    /// Revisions seen on the VMs.
    pub revisions: Vec<RevisionSample>,
    /// VMs that lived until the end.
    pub survivors: Vec<String>,
    /// Targets that announced their leave.
    pub leaves: Vec<Leave>,
    /// Faults that were injected, as text.
    pub faults: Vec<String>,
    /// Length of the run.
    pub length: Duration,
}
