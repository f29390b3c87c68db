//! The clock that a process passes into the core.

use std::time::{Duration, Instant, SystemTime};

/// Source of the current time.
///
/// Decisions use the monotonic time, because the wall clocks of VMs can jump.
/// Records that other VMs read use the wall time.
pub trait Clock: std::fmt::Debug + Send + Sync {
    /// Returns the monotonic time, which never goes backwards.
    fn now(&self) -> Instant;

    /// Returns the time since this VM booted, which also counts the time in which it was
    /// suspended. The monotonic time leaves that out, so that it cannot tell the age of
    /// anything outside the VM.
    fn since_boot(&self) -> Duration;

    /// Returns the wall time, which may jump forwards or backwards.
    fn wall(&self) -> SystemTime;
}
