//! Records of one run.

use crate::CallResult;
use gentianridge_api::SubmitVerdict;
use std::time::Duration;

/// A submission and its answer.
#[derive(Debug, Clone)]
pub struct SubmissionResult {
    /// Name of the submission.
    pub submission: String,
    /// Verdict of the answer.
    pub verdict: SubmitVerdict,
    /// Revision of the answer.
    pub revision: u64,
    /// Time from the start of the run to the answer.
    pub at: Duration,
}

/// The revision in force on a VM at one time.
#[derive(Debug, Clone)]
pub struct RevisionSample {
    /// Name of the VM; a replacement has another name.
    pub vm: String,
    /// Revision in force.
    pub revision: u64,
    /// Time since the start of the run.
    pub at: Duration,
}

/// A target that announced its leave.
#[derive(Debug, Clone)]
pub struct Leave {
    /// Name of the target.
    pub target: String,
    /// Time from the start of the run to the announcement.
    pub announced: Duration,
    /// Time from the start of the run to the last request that the target received.
    pub last_request: Duration,
}

/// The history of one run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Calls and their results.
    pub calls: Vec<CallResult>,
    /// Keys with their number of starts over all targets.
    pub runs: Vec<(String, usize)>,
    /// Submissions and their answers.
    pub submissions: Vec<SubmissionResult>,
    /// Samples of the revisions in force on the VMs.
    pub revisions: Vec<RevisionSample>,
    /// VMs that were running at the end.
    pub survivors: Vec<String>,
    /// Targets that announced their leave.
    pub leaves: Vec<Leave>,
    /// Descriptions of the injected faults.
    pub faults: Vec<String>,
    /// Length of the run.
    pub length: Duration,
}
