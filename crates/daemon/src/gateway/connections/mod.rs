//! Connections to targets, each with its age, its last use and what left on it.

mod connection;
mod pool;

pub(crate) use connection::{Connection, SendError};
pub(crate) use pool::{ConnectionPool, ReusePolicy};
