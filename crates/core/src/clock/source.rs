//! The clock that a process passes into the core.

use std::time::{Instant, SystemTime};

/// Source of the current time.
///
/// Decisions use the monotonic reading, because wall clocks of VMs jump.
/// Records that other VMs read use the wall reading.
pub trait Clock: std::fmt::Debug + Send + Sync {
    /// Returns the monotonic time, which never goes backwards.
    fn now(&self) -> Instant;

    /// Returns the wall time, which may jump either way.
    fn wall(&self) -> SystemTime;
}
