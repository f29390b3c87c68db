//! Stand-in for a backend server.

mod echo;
mod faults;
mod runs;
mod server;
mod slots;
mod time;

pub use faults::TargetFaults;
pub use runs::RunLog;
pub use server::{TargetOptions, TargetStandIn};
pub use time::ServiceTime;
