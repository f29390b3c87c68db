//! The slowest rate at which a body may arrive.

use gentianridge_config::GatewaySettings;
use std::time::{Duration, Instant};

/// Time by which the next bytes of a body are due.
#[derive(Debug, Clone, Copy)]
pub(super) struct BodyPace {
    started: Instant,
    idle: Duration,
    /// Bytes per second.
    min_rate: u32,
    received: u64,
}

impl BodyPace {
    /// Multiple of the longest pause after which the rate is enforced.
    const ALLOWANCE: u32 = 2;

    pub(super) fn new(now: Instant, settings: &GatewaySettings) -> Self {
        Self {
            started: now,
            idle: settings.body_idle,
            min_rate: settings.min_rate.max(1),
            received: 0,
        }
    }

    /// Measures from now on.
    pub(super) fn restart(&mut self, now: Instant) {
        self.started = now;
        self.received = 0;
    }

    pub(super) fn record(&mut self, bytes: usize) {
        self.received += bytes as u64;
    }

    /// Returns the time at which the body counts as stalled if nothing arrives from now on.
    pub(super) fn get_due(&self, now: Instant) -> Instant {
        let expected = Duration::from_millis(self.received * 1_000 / u64::from(self.min_rate));
        let rate_due = self.started + self.idle * Self::ALLOWANCE + expected;
        rate_due.min(now + self.idle)
    }
}
