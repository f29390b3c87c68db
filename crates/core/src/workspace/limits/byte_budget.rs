//! Budget for the bytes that limits send to peers.

use std::time::Duration;

/// Token bucket over the bytes of asks and grants.
#[derive(Debug, Default)]
pub(super) struct LimitByteBudget {
    used: f64,
    at: Duration,
}

impl LimitByteBudget {
    /// Bytes a second, less than half of those of all messages between VMs.
    const BYTES_PER_SECOND: f64 = 2_000.0;
    /// Bytes that may be sent at once: those of a second.
    const CAPACITY: f64 = 2_000.0;
    /// Bytes of the capacity that only grants may use: a peer that waits for its grant
    /// needs it more than this VM needs a further ask.
    const GRANT_PART: f64 = 500.0;

    /// Consumes the bytes of an ask; returns false if the budget does not cover them.
    pub(super) fn try_ask(&mut self, now: Duration, bytes: usize) -> bool {
        self.try_consume(now, bytes, Self::CAPACITY - Self::GRANT_PART)
    }

    /// Consumes the bytes of a grant; returns false if the budget does not cover them.
    pub(super) fn try_grant(&mut self, now: Duration, bytes: usize) -> bool {
        self.try_consume(now, bytes, Self::CAPACITY)
    }

    fn try_consume(&mut self, now: Duration, bytes: usize, capacity: f64) -> bool {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.used = (self.used - elapsed * Self::BYTES_PER_SECOND).max(0.0);
        let is_affordable = self.used + bytes as f64 <= capacity;
        if is_affordable {
            self.used += bytes as f64;
        }
        is_affordable
    }
}
