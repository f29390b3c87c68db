//! Stand-ins that speak what the users' platform publishes: its store, targets
//! and callers, and a daemon before them.

mod caller;
mod config;
mod http;
mod store;
mod target;
mod vm;

pub use caller::{CallerConnection, Reply};
pub use config::{CART, write_config, write_path};
pub use store::{FakeStore, StoreEndpoint, StoreFault};
pub use target::{FakeTarget, TargetBehavior, TargetEntryValue};
pub use vm::GatewayVm;
