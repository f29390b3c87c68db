//! Connections to targets, each with its last use and its byte counts.

mod connection;
mod pool;

pub(crate) use connection::{Connection, SendError};
pub(crate) use pool::{ConnectionPool, ReusePolicy};
