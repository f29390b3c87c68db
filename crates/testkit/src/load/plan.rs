//! Planned calls and their results.

use std::time::Duration;

/// A planned call.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// Time from the start of the load to the call.
    pub at: Duration,
    /// Name of the group in reports.
    pub group: &'static str,
    /// HTTP method.
    pub method: &'static str,
    /// Path and query, with which an answer to the call has to start.
    pub path: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Body, if any.
    pub body: Option<String>,
}

impl CallPlan {
    /// Plans `count` GET calls at a constant rate.
    ///
    /// The query of each call holds its number, so that answers differ.
    pub fn at_constant_rate(
        group: &'static str,
        path: &str,
        count: u64,
        per_second: u64,
    ) -> Vec<Self> {
        (0..count)
            .map(|index| Self {
                at: Duration::from_micros(index * 1_000_000 / per_second),
                group,
                method: "GET",
                path: format!("{path}?n={index}"),
                key: None,
                body: None,
            })
            .collect()
    }
}

/// Outcome of a call as the caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The answer of the target is complete and belongs to the call.
    Answered,
    /// The call was refused and is reported as not run.
    NotRun,
    /// The call was refused but may have run, or there was no complete answer.
    Unknown,
    /// The answer belongs to another call or is truncated.
    Wrong,
}

/// The result of a call.
#[derive(Debug, Clone)]
pub struct CallResult {
    /// Name of the group in reports.
    pub group: &'static str,
    /// Path of the call.
    pub path: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Planned time from the start of the load to the call.
    pub at: Duration,
    /// Time from the call to its complete answer.
    pub elapsed: Duration,
    /// Elapsed time without the work time of the target, if the answer states
    /// that work time.
    pub added_latency: Option<Duration>,
    /// HTTP status, 0 without an answer.
    pub status: u16,
    /// Result code, if any.
    pub code: Option<u16>,
    /// Outcome of the call.
    pub outcome: CallOutcome,
    /// VM that answered, if the answer names it.
    pub vm: Option<String>,
}
