//! What VMs of the fleet tell each other: attempts in flight on each target,
//! the version of the configuration and readings of the store, by datagrams.
//!
//! docs/decisions/0014-peer-loads.md gives the reasons and the costs.

mod exchange;
mod register;
mod table;

pub(crate) use exchange::run_peers;
pub(crate) use register::register;
pub(crate) use table::Peers;
