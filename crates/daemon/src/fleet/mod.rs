//! State that the tasks of a daemon share, and the tasks that keep it current.

mod control;
mod gossip;
mod members;
mod shared;

pub(crate) use control::{run_revision_poller, submit};
pub(crate) use gossip::{run_gossip, run_peer_listener};
pub(crate) use members::run_member_poller;
pub(crate) use shared::{Fleet, Routes, wall_millis};
