//! A local fleet on loopback sockets.

mod local;
mod vm;

pub use local::{FleetOptions, LocalFleet};
pub use vm::LocalVm;
