//! Submitting a file.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A submitted file.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SubmitRequest {
    /// Unique name of the submission, by which its fate can be asked again.
    pub submission: SmolStr,
    /// Operator who submits.
    pub author: SmolStr,
    /// Revision that the file was written against; none for the newest one.
    pub base: Option<u64>,
    /// True if the warnings were read and are wanted.
    pub force: bool,
    /// Whole text of the file.
    pub text: String,
}

/// What became of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SubmitVerdict {
    /// The file is accepted and will be in force on every VM.
    Accepted,
    /// The file has faults; nothing was applied.
    Faulty,
    /// The file needs `force`.
    NeedsForce,
    /// Another file was accepted since the base.
    Overtaken,
    /// The platform's table service did not take the file; nothing was applied.
    StoreUnavailable,
    /// Whether the file was accepted cannot be told now; ask again.
    Unknown,
}

/// Answer to a submission.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SubmitAnswer {
    /// What became of the submission.
    pub verdict: SubmitVerdict,
    /// Name of the submission.
    pub submission: SmolStr,
    /// Revision that the file became, or the newest one known.
    pub revision: u64,
    /// Faults, warnings or what changed since the base, a line each.
    pub details: Vec<String>,
}
