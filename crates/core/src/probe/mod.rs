//! When targets are probed, and by whom.
//!
//! docs/decisions/0008-probes.md shows why the budget holds under any
//! disagreement about which VMs are live.

mod budget;
mod owner;

pub use budget::ProbeBudget;
pub use owner::is_probe_owner;
