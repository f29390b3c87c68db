//! Stand-ins for the gateway mode of the daemon: a store, targets and callers
//! that use the published HTTP interfaces of the users' platform, and a daemon
//! that runs in the process of the test.

mod caller;
mod config;
mod endless;
mod http;
mod store;
mod target;
mod target_behavior;
mod target_server;
mod vm;

pub use caller::{CallerConnection, Reply};
pub use config::{
    CART, WorkspaceValue, write_config, write_keyed_config, write_path, write_public_path,
};
pub use endless::{Endless, EndlessPace, EndlessPart};
pub use store::{FakeStore, StoreCopy, StoreEndpoint, StoreFault};
pub use target::FakeTarget;
pub use target_behavior::{LateCopies, TargetBehavior, TargetEntryValue};
pub use vm::{GatewayVm, make_settings};
