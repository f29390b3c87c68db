//! Stand-in for a backend server.

mod echo;
mod faults;
mod gate;
mod runs;
mod server;
mod time;

pub use faults::TargetFaults;
pub use runs::RunLog;
pub use server::{TargetOptions, TargetStandIn};
pub use time::ServiceTime;
