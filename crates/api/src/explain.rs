//! The way of one request.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The way of one request through one VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RequestTrace {
    /// Name of the request.
    pub request: SmolStr,
    /// VM that handled it.
    pub vm: SmolStr,
    /// Wall time of its arrival in milliseconds since the Unix epoch.
    pub arrived_ms: u64,
    /// Service that took it, if one matched.
    pub service: Option<SmolStr>,
    /// Class that took it, if one matched.
    pub class: Option<SmolStr>,
    /// Time in the queue in microseconds.
    pub queued_us: u64,
    /// Attempts in their order.
    pub attempts: Vec<AttemptTrace>,
    /// Time until the answer or refusal in microseconds.
    pub elapsed_us: u64,
    /// HTTP status handed on.
    pub status: u16,
    /// Numbered result code if the VM refused it.
    pub code: Option<u16>,
}

/// One attempt of a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AttemptTrace {
    /// Target that it went to.
    pub target: SmolStr,
    /// Why it was made: first, retry, hedge or trial.
    pub kind: SmolStr,
    /// Time after the arrival in microseconds.
    pub started_us: u64,
    /// Time until its end in microseconds, if it ended.
    pub elapsed_us: Option<u64>,
    /// How it ended.
    pub outcome: SmolStr,
}
