//! Tests of the daemon on the users' platform, over sockets, with stand-ins for
//! the store, the targets and the callers.

mod announcements;
mod answers;
mod classes;
mod cold_targets;
mod configuration;
mod crashes;
mod discovery;
mod downloads;
mod evacuations;
mod fleet_limits;
mod flows;
mod late_requests;
mod leaving;
mod limits;
mod metrics;
mod peer_state;
mod peers;
mod previews;
mod slow_bodies;
mod store_faults;
mod store_returns;
mod test_env;
mod withdrawn_keys;
mod workspaces;
