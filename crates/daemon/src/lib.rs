//! The daemon that runs on an entry VM.
//!
//! Provides the sockets, timers and tasks that drive the state machines of
//! `gentianridge-core`. docs/ARCHITECTURE.md describes how a request passes
//! through these modules.

mod caller;
mod clock;
mod fleet;
mod gateway;
mod operator;
mod run;
mod service;
mod store;
mod stream;
mod supervise;
mod system;
mod telemetry;

pub use clock::SystemClock;
pub use gateway::{GatewaySockets, run_gateway, run_gateway_until};
pub use run::{Daemon, Listeners, run_until_signal};
pub use supervise::supervise;
pub use telemetry::{BoundedAppender, LineCounts, start_logging};
