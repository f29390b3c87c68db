//! The two deployments at their sizes of today.

mod sizes;

pub use sizes::{Deployment, DeploymentClass, DeploymentService};
