//! Tests of the daemon on the users' platform, over sockets, with stand-ins for
//! the store, the targets and the callers.

mod answers;
mod configuration;
mod crashes;
mod discovery;
mod leaving;
mod limits;
mod metrics;
mod peers;
mod store_faults;
mod test_env;
