//! Estimate of the rate of events.

use std::time::Duration;

/// Events a second, of which older ones count less.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayingRate {
    value: f64,
    at: Duration,
}

impl DecayingRate {
    /// Time in which the weight of an event falls to 1/e, in seconds. Demand that moves
    /// to another VM is followed within a second.
    const DECAY_S: f64 = 1.0;

    /// Counts an event.
    pub(super) fn record(&mut self, now: Duration) {
        self.value = self.get(now) + 1.0 / Self::DECAY_S;
        self.at = self.at.max(now);
    }

    /// Returns the rate at `now`.
    pub(super) fn get(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-age / Self::DECAY_S).exp()
    }
}
