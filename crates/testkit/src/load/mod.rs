//! Callers.

mod plan;
mod report;
mod runner;

pub use plan::{CallPlan, CallResult, RunState};
pub use report::LoadReportTable;
pub use runner::run_calls;
