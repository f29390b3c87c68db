//! What VMs of the fleet tell each other by datagrams: who is live, the version
//! of the configuration, readings of the store and requests that crash targets.
//!
//! docs/decisions/0016-bounded-exchange.md gives the reasons and the costs.

mod gossip;
mod register;
mod table;

pub(crate) use gossip::run_gossip;
pub(crate) use register::{register, unregister};
pub(crate) use table::Peers;
