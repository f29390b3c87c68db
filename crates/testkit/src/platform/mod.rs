//! Stand-in for the platform's services.

mod faults;
mod server;

pub use faults::PlatformFaults;
pub use server::PlatformStandIn;
