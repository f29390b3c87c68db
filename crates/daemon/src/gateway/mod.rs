//! The data path of a daemon whose routes and targets the platform publishes.
//!
//! Everything runs on one thread, since a VM has a share of one core: state is
//! shared by `Rc`, and a decision is a direct call. How a request is processed
//! is described in docs/decisions/0013-platform.md.

mod activity;
mod admission;
mod announcements;
mod answer;
mod attempt;
mod auxiliary;
mod backoff;
mod body;
mod call;
mod callers;
mod cold;
mod connections;
mod counted;
mod crashes;
mod era;
mod evacuations;
mod exchange;
mod feeds;
mod identity;
mod list_log;
mod list_reader;
mod memory;
mod metrics;
mod peers;
mod preview;
mod ready;
mod request;
mod routing;
mod run;
mod samples;
mod send_check;
mod services;
mod shutdown;
mod sockets;
mod state;
mod targets;
mod workspace_labels;

pub use run::{run_gateway, run_gateway_until};
pub use sockets::GatewaySockets;
