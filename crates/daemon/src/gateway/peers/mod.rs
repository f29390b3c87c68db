//! Exchange between the VMs of the fleet.
//!
//! Datagrams carry what is small and may be lost: which VMs are live, which versions
//! exist, small updates of the target list, crash records. Connections carry what has
//! to be complete: the configuration, changes of the list that a VM lacks, the list.
//!
//! docs/decisions/0016-bounded-exchange.md gives the reasons and the costs.

mod follow;
mod gossip;
mod limits;
mod register;
mod renew;
mod start;
mod state_exchange;
mod table;

pub(crate) use follow::{follow_peers, is_behind};
pub(crate) use gossip::run_gossip;
pub(crate) use limits::run_limits;
pub(crate) use register::{keep_listed, keep_registered, unregister};
pub(crate) use renew::keep_proven;
pub(crate) use start::{fetch_from_seeds, load_state};
pub(crate) use state_exchange::run_state_server;
pub(crate) use table::Peers;
