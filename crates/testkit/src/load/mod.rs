//! Load of planned calls and reports of their results.

mod plan;
mod report;
mod runner;

pub use plan::{CallOutcome, CallPlan, CallResult};
pub use report::CallResultTable;
pub use runner::run_calls;
