//! The budget of bytes between VMs.

use std::time::{Duration, Instant};

/// Token bucket over the bytes that a VM sends its peers.
#[derive(Debug, Default)]
pub struct ByteBudget {
    spent: f64,
    at: Option<Instant>,
}

impl ByteBudget {
    /// Bytes a second that control may cost a daemon, and the most saved up;
    /// the size to design for allows 5 KB/s (docs/CAPACITY.md).
    pub const BYTES_PER_SECOND: f64 = 5_000.0;

    /// Creates a full budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the bytes of one message out; returns false if they are not there.
    pub fn try_consume(&mut self, now: Instant, bytes: usize) -> bool {
        let elapsed = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.at = Some(now);
        self.spent = (self.spent - elapsed.as_secs_f64() * Self::BYTES_PER_SECOND).max(0.0);
        let is_affordable = self.spent + bytes as f64 <= Self::BYTES_PER_SECOND;
        if is_affordable {
            self.spent += bytes as f64;
        }
        is_affordable
    }
}
