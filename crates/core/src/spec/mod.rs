//! What operators declare, as plain values.
//!
//! The crate `gentianridge-config` builds these from the operators' file.

mod bound;
mod class;
mod fleet;
mod service;
mod target;

pub use bound::RequestBound;
pub use class::{ClassKind, ClassSpec, MethodSet, RouteMatch};
pub use fleet::{FleetSpec, VmName};
pub use service::{RepeatLimit, Sampling, ServiceSpec};
pub use target::{DomainName, Note, TargetSpec};
