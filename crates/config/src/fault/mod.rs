//! Faults in configuration files.

mod kind;
mod report;

pub use kind::{Fault, FaultKind};
pub use report::FaultReport;
