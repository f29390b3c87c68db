//! One VM's part of the rate of a cold target.

use crate::add_span;
use std::time::{Duration, Instant};

/// Bucket of one request for one target.
///
/// It starts empty: a process that was replaced may just have used its part. A request that
/// is due and not made is made up for in part only.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdBudget {
    next: Option<Instant>,
}

impl ColdBudget {
    /// Part of an interval that a late request may be made up for, so that the rate is used
    /// although requests do not arrive just when they are due.
    pub const CARRY: f64 = 0.25;

    /// Returns the most requests in any second at a rate.
    pub fn get_most_per_second(per_second: f64) -> f64 {
        (per_second + Self::CARRY).floor() + 1.0
    }

    /// Creates an empty bucket.
    pub fn start(now: Instant, interval: Duration) -> Self {
        Self {
            next: Some(add_span(now, interval)),
        }
    }

    /// Returns true if a request may be sent now.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.next.is_some_and(|next| next <= now)
    }

    /// Returns when the next request may be sent, `None` before the start.
    pub fn get_next(&self) -> Option<Instant> {
        self.next
    }

    /// Takes the request of the bucket.
    pub fn take(&mut self, now: Instant, interval: Duration) {
        let earliest = now.checked_sub(interval.mul_f64(Self::CARRY));
        let due = self.next.unwrap_or(now);
        let start = earliest.map_or(due, |earliest| due.max(earliest));
        self.next = Some(add_span(start, interval));
    }
}
