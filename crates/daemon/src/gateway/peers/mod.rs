//! Gossip between the VMs of the fleet by datagrams: which VMs are live, the
//! version of the configuration, updates of the target list and crash records.
//!
//! docs/decisions/0016-bounded-exchange.md gives the reasons and the costs.

mod gossip;
mod register;
mod table;

pub(crate) use gossip::run_gossip;
pub(crate) use register::{register, unregister};
pub(crate) use table::Peers;
