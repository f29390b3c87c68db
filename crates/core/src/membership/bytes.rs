//! Budget for the bytes that a VM sends to its peers.

use std::time::{Duration, Instant};

/// Token bucket over the bytes that a VM sends to its peers.
#[derive(Debug, Default)]
pub struct ByteBudget {
    used: f64,
    at: Option<Instant>,
}

impl ByteBudget {
    /// Bytes per second for control messages, and the capacity of the bucket.
    ///
    /// The fleet size of the design allows 5 KB/s per daemon (docs/CAPACITY.md).
    pub const BYTES_PER_SECOND: f64 = 5_000.0;

    /// Creates a full budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Part of the bucket that only urgent messages may use.
    const URGENT_PART: f64 = 0.3;

    /// Consumes the bytes of one message that can wait; returns false if the budget
    /// does not cover them beside the part for urgent messages.
    pub fn try_consume_routine(&mut self, now: Instant, bytes: usize) -> bool {
        let limit = Self::BYTES_PER_SECOND * (1.0 - Self::URGENT_PART);
        self.try_consume_up_to(now, bytes, limit)
    }

    /// Consumes the bytes of one message; returns false if the budget does not cover them.
    pub fn try_consume(&mut self, now: Instant, bytes: usize) -> bool {
        self.try_consume_up_to(now, bytes, Self::BYTES_PER_SECOND)
    }

    fn try_consume_up_to(&mut self, now: Instant, bytes: usize, limit: f64) -> bool {
        let elapsed = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.at = Some(now);
        self.used = (self.used - elapsed.as_secs_f64() * Self::BYTES_PER_SECOND).max(0.0);
        let is_affordable = self.used + bytes as f64 <= limit;
        if is_affordable {
            self.used += bytes as f64;
        }
        is_affordable
    }
}
