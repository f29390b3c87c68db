//! Traces of requests.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Trace of one request through one VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RequestTrace {
    /// Identifier of the request.
    pub request: SmolStr,
    /// VM that handled it.
    pub vm: SmolStr,
    /// Wall-clock time of its arrival in milliseconds since the Unix epoch.
    pub arrived_ms: u64,
    /// Service that the request matched, if any.
    pub service: Option<SmolStr>,
    /// Class that the request matched, if any.
    pub class: Option<SmolStr>,
    /// Time in the queue in microseconds.
    pub queued_us: u64,
    /// Attempts in the order of their start.
    pub attempts: Vec<AttemptTrace>,
    /// Time until the answer or refusal in microseconds.
    pub elapsed_us: u64,
    /// HTTP status sent to the caller.
    pub status: u16,
    /// Numeric result code, if the VM refused the request.
    pub code: Option<u16>,
}

/// One attempt of a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AttemptTrace {
    /// Target that the attempt was sent to.
    pub target: SmolStr,
    /// Kind of the attempt: first, retry, hedge or trial.
    pub kind: SmolStr,
    /// Time from the arrival to the start of the attempt, in microseconds.
    pub started_us: u64,
    /// Duration of the attempt in microseconds, if it ended.
    pub elapsed_us: Option<u64>,
    /// Outcome of the attempt.
    pub outcome: SmolStr,
}
