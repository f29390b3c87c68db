//! Record of one version of the operators' file.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A file as it was accepted, or as it is submitted for acceptance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRecord {
    /// Number of the revision; the first accepted file is 1.
    pub number: u64,
    /// Unique name of the submission that it came from.
    pub submission: SmolStr,
    /// Operator who submitted it.
    pub author: SmolStr,
    /// Wall time of the submission in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// Complete text of the file.
    pub text: String,
}
