//! Submission of a configuration file.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A submitted configuration file.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SubmitRequest {
    /// Unique name of the submission, with which its verdict can be queried again.
    pub submission: SmolStr,
    /// Operator who submits the file.
    pub author: SmolStr,
    /// Revision that the file is based on; `None` for the newest one.
    pub base: Option<u64>,
    /// True if the file is accepted despite its warnings.
    pub force: bool,
    /// Complete text of the file.
    pub text: String,
}

/// Verdict on a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SubmitVerdict {
    /// The file is accepted and will be in force on every VM.
    Accepted,
    /// The file has faults; nothing was applied.
    Faulty,
    /// The file needs `force`.
    NeedsForce,
    /// Another file was accepted after the base revision.
    Overtaken,
    /// The platform's table service did not accept the file; nothing was applied.
    StoreUnavailable,
    /// Whether the file was accepted is unknown for now; query again.
    Unknown,
}

/// Answer to a submission.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SubmitAnswer {
    /// Verdict on the submission.
    pub verdict: SubmitVerdict,
    /// Name of the submission.
    pub submission: SmolStr,
    /// Revision that the file became, or the newest one that the VM has.
    pub revision: u64,
    /// Faults, warnings or changes since the base revision, one per line.
    pub details: Vec<String>,
}
