//! When targets are probed, and by which VM.
//!
//! docs/decisions/0008-probes.md shows why the budget holds even if the VMs
//! differ in their views of which VMs are live.

mod budget;
mod owner;

pub use budget::ProbeBudget;
pub use owner::is_probe_owner;
