//! Connection tracking that the HTTP server library lacks.
//!
//! A proxy needs it because the library continues a request after its caller
//! has disconnected, and polls a body again after it has failed, so that a
//! truncated answer would end as if it were complete.
//! docs/decisions/0011-http-server.md shows both with their tests.

mod acceptor;
mod body;
mod connections;

pub use acceptor::TrackingAcceptor;
pub use body::guard_body;
pub use connections::{BusyGuard, Connection, Connections};
