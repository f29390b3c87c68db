//! Targets that have just started, which bear a limited rate of requests.
//!
//! docs/design/0023-cold-targets.md explains how VMs share that rate.

mod budget;
mod fleet;
mod plan;
mod state;

pub use budget::ColdBudget;
pub use fleet::ColdFleet;
pub use plan::ColdPlan;
pub use state::ColdState;
