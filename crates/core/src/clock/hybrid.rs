//! Hybrid logical clock, which orders events of several VMs by cause.
//!
//! See docs/decisions/0009-time-line.md for why wall time alone does not do.

use serde::{Deserialize, Serialize};
use std::time::{SystemTime, UNIX_EPOCH};

/// A reading of a [`HybridClock`].
///
/// Readings of one clock never repeat, and a reading taken after a message
/// was received is larger than the reading that the message carried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct HybridTime {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// Counter that orders readings within one millisecond.
    pub logical: u32,
}

/// A clock that never runs behind any reading it has seen.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Longest lead over the local wall clock that a received reading may have.
    ///
    /// A peer whose wall clock is far ahead would otherwise pull every VM with it.
    pub const MAX_LEAD_MILLIS: u64 = 60_000;

    /// Creates a clock that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a reading for a local event.
    pub fn tick(&mut self, wall: SystemTime) -> HybridTime {
        let millis = wall_millis(wall);
        self.last = if millis > self.last.millis {
            HybridTime { millis, logical: 0 }
        } else {
            HybridTime {
                millis: self.last.millis,
                logical: self.last.logical + 1,
            }
        };
        self.last
    }

    /// Takes in a reading that another VM sent.
    ///
    /// Returns false and leaves the clock as it was when the reading leads the
    /// wall clock by more than [`Self::MAX_LEAD_MILLIS`].
    pub fn observe(&mut self, wall: SystemTime, seen: HybridTime) -> bool {
        if seen.millis > wall_millis(wall) + Self::MAX_LEAD_MILLIS {
            return false;
        }
        self.last = self.last.max(seen);
        true
    }
}

fn wall_millis(wall: SystemTime) -> u64 {
    wall.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
