//! Faults of a file.

mod kind;
mod report;

pub use kind::{Fault, FaultKind};
pub use report::FaultReport;
