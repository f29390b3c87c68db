//! Stand-ins for backend servers, the platform and callers.
//!
//! They speak the same HTTP as the real ones and can be slow, down or
//! misleading on demand. Nothing of this crate is shipped.

mod deployment;
mod fleet;
mod gateway;
mod history;
mod load;
mod platform;
mod soak;
mod target;

pub use deployment::{Deployment, DeploymentClass, DeploymentService};
pub use fleet::{FleetOptions, LocalFleet, LocalVm};
pub use gateway::{
    CART, CallerConnection, FakeStore, FakeTarget, GatewayVm, Reply, StoreEndpoint, StoreFault,
    TargetBehavior, TargetEntryValue, write_config, write_path,
};
pub use history::{History, Leave, RevisionSeen, Submitted, Violation, check_history, run_history};
pub use load::{CallPlan, CallResult, LoadReportTable, RunState, run_calls};
pub use platform::{PlatformFaults, PlatformStandIn};
pub use soak::{Breach, FaultyLink, LinkFault, SoakOptions, SoakReport, run_soak};
pub use target::{Runs, ServiceTime, TargetFaults, TargetOptions, TargetStandIn};
