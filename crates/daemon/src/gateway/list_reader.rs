//! State of this VM's reads of the target list.

use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// What is known about this VM's reads of the target list.
#[derive(Debug, Default)]
pub(crate) struct ListReader {
    /// Notified when the list was confirmed or a read of it failed.
    pub(crate) refreshed: Notify,
    expected_at: Cell<Option<Instant>>,
    has_failed: Cell<bool>,
}

impl ListReader {
    /// Time after which a read without an answer counts as failing.
    const SLOW_READ: Duration = Duration::from_millis(250);

    /// Records that a read was sent whose answer is due at `expected_at`.
    pub(crate) fn start(&self, expected_at: Instant) {
        self.expected_at.set(Some(expected_at));
    }

    /// Records the end of a read.
    pub(crate) fn finish(&self, is_success: bool) {
        self.expected_at.set(None);
        self.has_failed.set(!is_success);
        self.refreshed.notify_waiters();
    }

    /// Records that an update of a peer confirmed the list.
    pub(crate) fn confirm(&self) {
        self.refreshed.notify_waiters();
    }

    /// Returns true if the last read failed or the one in flight is not answered
    /// in the usual time.
    pub(crate) fn is_failing(&self, now: Instant) -> bool {
        let is_slow = self
            .expected_at
            .get()
            .is_some_and(|at| now.saturating_duration_since(at) > Self::SLOW_READ);
        self.has_failed.get() || is_slow
    }
}
