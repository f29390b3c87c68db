//! Hybrid logical clock, which orders the events of all VMs by cause and effect.
//!
//! See docs/decisions/0009-time-line.md for why wall time alone is not enough.

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

impl HybridTime {
    /// Returns the next larger reading. A counter at its end carries over to the next
    /// millisecond, since a peer may send any counter.
    fn next(self) -> Self {
        match self.logical.checked_add(1) {
            Some(logical) => Self { logical, ..self },
            None => Self {
                millis: self.millis.saturating_add(1),
                logical: 0,
            },
        }
    }
}

/// A clock that never runs behind a reading that it has returned or observed.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Longest lead over the local wall clock that a received reading may have.
    ///
    /// Without the limit, one VM whose wall clock is far ahead would advance the
    /// clocks of all VMs.
    pub const MAX_LEAD_MILLIS: u64 = 60_000;

    /// Creates a clock without any previous reading.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a reading for a local event.
    pub fn tick(&mut self, wall: SystemTime) -> HybridTime {
        let millis = wall_millis(wall);
        self.last = if millis > self.last.millis {
            HybridTime { millis, logical: 0 }
        } else {
            self.last.next()
        };
        self.last
    }

    /// Advances the clock to a reading that another VM sent.
    ///
    /// Returns false and leaves the clock unchanged if the reading leads the
    /// wall clock by more than [`Self::MAX_LEAD_MILLIS`].
    pub fn observe(&mut self, wall: SystemTime, received: HybridTime) -> bool {
        if received.millis > wall_millis(wall) + Self::MAX_LEAD_MILLIS {
            return false;
        }
        self.last = self.last.max(received);
        true
    }
}

fn wall_millis(wall: SystemTime) -> u64 {
    wall.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
