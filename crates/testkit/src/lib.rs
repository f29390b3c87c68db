//! Stand-ins for backend servers, the platform and callers.
//!
//! They use the same HTTP interfaces as the real ones and can be made slow,
//! unavailable or misleading. This crate is for tests only and is not shipped.

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
    CART, CallerConnection, Endless, EndlessPace, EndlessPart, FakeStore, FakeTarget, GatewayVm,
    LateCopies, Reply, StoreCopy, StoreEndpoint, StoreFault, TargetBehavior, TargetEntryValue,
    WorkspaceValue, make_settings, write_config, write_keyed_config, write_path, write_public_path,
};
pub use history::{
    History, Leave, RevisionSample, SubmissionResult, Violation, check_history, run_history,
};
pub use load::{CallOutcome, CallPlan, CallResult, CallResultTable, run_calls};
pub use platform::{PlatformFaults, PlatformStandIn};
pub use soak::{FaultyLink, LinkFault, SoakOptions, SoakReport, SoakViolation, run_soak};
pub use target::{RunLog, ServiceTime, TargetFaults, TargetOptions, TargetStandIn};
