//! Start and stop of the daemon.

mod daemon;
mod listeners;
mod signal;

pub use daemon::Daemon;
pub use listeners::Listeners;
pub use signal::run_until_signal;
