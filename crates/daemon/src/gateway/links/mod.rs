//! Connections to targets, each with its age, its last use and what left on it.

mod link;
mod pool;

pub(crate) use link::{Link, SendError};
pub(crate) use pool::{Links, Wanted};
