//! Calls to make and what became of them.

use std::time::Duration;

/// One call to make.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// Time after the start at which the call is made.
    pub at: Duration,
    /// Name of the group in reports.
    pub group: &'static str,
    /// HTTP method.
    pub method: &'static str,
    /// Path with its query; answers have to name it.
    pub path: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Body, if any.
    pub body: Option<String>,
}

impl CallPlan {
    /// Plans `count` plain lookups at an even pace.
    ///
    /// Each path carries the number of its call, so that answers differ.
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

/// Whether a call ran, as the caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// An answer of the target came back whole and names the call.
    Answered,
    /// A refusal that says it did not run.
    NotRun,
    /// A refusal that does not exclude a run, or no answer.
    Unknown,
    /// An answer that belongs to another call or is cut.
    Wrong,
}

/// What became of one call.
#[derive(Debug, Clone)]
pub struct CallResult {
    /// Name of the group in reports.
    pub group: &'static str,
    /// Path of the call.
    pub path: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Time after the start at which the call was made.
    pub at: Duration,
    /// Time until the whole answer.
    pub elapsed: Duration,
    /// Part of the elapsed time in which the target did not work on the call,
    /// if the target told its own part.
    pub added_latency: Option<Duration>,
    /// HTTP status, 0 if there was no answer.
    pub status: u16,
    /// Numbered result code, if any.
    pub code: Option<u16>,
    /// Whether the call ran.
    pub run: CallOutcome,
    /// VM that answered, if it said so.
    pub vm: Option<String>,
}
