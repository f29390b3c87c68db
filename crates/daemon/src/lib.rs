//! The daemon that runs on an entry VM.
//!
//! Sockets, timers and tasks round the state machines of `gentianridge-core`.
//! The life of a request through these modules is described in
//! docs/ARCHITECTURE.md.

mod caller;
mod clock;
mod fleet;
mod gateway;
mod operator;
mod run;
mod service;
mod store;
mod telemetry;

pub use clock::SystemClock;
pub use gateway::{GatewaySockets, run_gateway, run_gateway_until};
pub use run::{Daemon, Listeners, run_until_signal};
pub use telemetry::{BoundedAppender, LineCounts, start_logging};
