//! Events, metrics, traces and log lines.

mod exposition;
mod journal;
mod lines;
mod logging;
mod metrics;
mod traces;

pub(crate) use exposition::{Exposition, counter, gauge, time_histogram};
pub(crate) use journal::Journal;
pub(crate) use lines::STATE_LOG_TARGET;
pub use lines::{BoundedAppender, LineCounts};
pub use logging::start_logging;
pub(crate) use metrics::{CallMetric, Metrics};
pub(crate) use traces::{TraceBuffer, TraceBuilder};
