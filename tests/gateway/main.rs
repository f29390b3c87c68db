//! The daemon on the users' platform, over sockets against stand-ins.

mod answers;
mod configuration;
mod crashes;
mod discovery;
mod leaving;
mod limits;
mod metrics;
mod peers;
mod site;
mod store_faults;
