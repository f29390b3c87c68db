//! Connections to targets, each with its last use and its byte counts.

mod connection;
mod pool;

pub(crate) use connection::{Connection, SendError, describe_error};
pub(crate) use pool::{ConnectionPool, ReusePolicy};
