//! Pauses between failed calls to the store.

use rand::RngExt;
use std::time::Duration;

/// Exponential backoff between failed calls, with jitter that spreads the calls of the VMs
/// when the store returns.
pub(super) struct Backoff {
    next: Duration,
}

impl Backoff {
    /// Shortest pause after a failed call.
    const MIN_PAUSE: Duration = Duration::from_millis(100);
    /// Longest pause, so that a store that returns is used again within about a second.
    const MAX_PAUSE: Duration = Duration::from_secs(1);

    pub(super) fn new() -> Self {
        Self {
            next: Self::MIN_PAUSE,
        }
    }

    pub(super) fn reset(&mut self) {
        self.next = Self::MIN_PAUSE;
    }

    /// Waits for the next pause, `factor` times as long.
    pub(super) async fn pause(&mut self, factor: f64) {
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(self.next.mul_f64(factor * jitter)).await;
        self.next = (self.next * 2).min(Self::MAX_PAUSE);
    }
}
