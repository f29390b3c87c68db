//! The part of a limit that this VM holds.

use std::time::Duration;

/// Token bucket that fills at a constant rate up to its capacity.
#[derive(Debug, Clone, Copy)]
pub(super) struct TokenBucket {
    level: f64,
    at: Duration,
    rate: f64,
    capacity: f64,
}

/// The last moment at which the tokens of a bucket are known.
#[derive(Debug, Clone, Copy)]
pub(super) struct BucketStart {
    pub(super) since: Duration,
    /// Tokens at that time.
    pub(super) level: f64,
}

impl BucketStart {
    /// Returns the start of a bucket that is full at `now`.
    pub(super) fn full(now: Duration) -> Self {
        Self {
            since: now,
            level: f64::INFINITY,
        }
    }

    /// Returns the start of a bucket with the tokens of several parts.
    pub(super) fn scale(self, parts: f64) -> Self {
        Self {
            level: self.level * parts,
            ..self
        }
    }

    /// Returns the start of a bucket that is empty at `now`.
    pub(super) fn empty(now: Duration) -> Self {
        Self {
            since: now,
            level: 0.0,
        }
    }
}

impl TokenBucket {
    /// Creates a bucket that has been filling since `start`.
    pub(super) fn new(now: Duration, start: BucketStart, rate: f64, capacity: f64) -> Self {
        let mut bucket = Self {
            level: start.level,
            at: start.since,
            rate,
            capacity,
        };
        bucket.fill(now);
        bucket
    }

    /// Changes rate and capacity. A larger capacity brings no tokens.
    pub(super) fn set_size(&mut self, now: Duration, rate: f64, capacity: f64) {
        self.fill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Returns the tokens at `now`.
    pub(super) fn get_level(&mut self, now: Duration) -> f64 {
        self.fill(now);
        self.level
    }

    /// Takes up to `count` whole tokens; returns how many.
    pub(super) fn take(&mut self, now: Duration, count: u32) -> u32 {
        self.fill(now);
        let taken = count.min(self.level as u32);
        self.level -= f64::from(taken);
        taken
    }

    fn fill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.capacity);
        self.at = self.at.max(now);
    }
}
