//! Services of the daemon: the core's state machine with its timer, connections and probes.

mod client;
mod command;
mod handle;
mod pools;
mod prober;

pub(crate) use client::{ClientError, TargetClient};
pub(crate) use command::Command;
pub(crate) use handle::{CommandReceiver, ServiceHandle};
pub(crate) use pools::{TargetPool, TargetPools, build_once_client};
pub(crate) use prober::run_prober;
