//! The two deployments at their current sizes.

mod sizes;

pub use sizes::{Deployment, DeploymentClass, DeploymentService};
