//! Events, metrics, traces and log lines.

mod journal;
mod logging;
mod metrics;
mod traces;

pub(crate) use journal::Journal;
pub use logging::start_logging;
pub(crate) use metrics::{CallMetric, Metrics};
pub(crate) use traces::{TraceBook, TraceBuilder};
