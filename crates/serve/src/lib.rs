//! What the HTTP server library lacks for a proxy.
//!
//! The library goes on with a request after its caller has gone, and polls a
//! body again after it has failed, which would end a cut answer as if it were
//! whole. docs/decisions/0011-http-server.md shows both with their tests.

mod acceptor;
mod body;
mod connections;

pub use acceptor::TrackingAcceptor;
pub use body::guard_body;
pub use connections::{BusyGuard, Connection, Connections};
