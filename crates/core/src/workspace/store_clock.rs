//! Bounds of the clock of the store in the view of one VM.

use std::time::Duration;

/// Bounds of the time of the store's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreTime {
    /// The store's clock shows at least this.
    pub earliest: Duration,
    /// The store's clock shows at most this.
    pub latest: Duration,
}

/// Bounds the clock of the store by the times that its answers state.
///
/// Times of this VM are those of a clock that counts the time in which the VM was
/// suspended ([`Clock::since_boot`](crate::Clock::since_boot)). The delay of an answer
/// widens the bounds and never shifts them.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreClock {
    bounds: Option<OffsetBounds>,
}

/// Bounds of the store's time less the time of this VM, in microseconds.
#[derive(Debug, Clone, Copy)]
struct OffsetBounds {
    earliest: i64,
    latest: i64,
    /// Time of this VM at which the bounds held.
    at: i64,
}

impl StoreClock {
    /// Largest difference between the rates of two clocks, in parts per million. Quartz
    /// clocks stay within 100, and corrections by the network's time within 500.
    const DRIFT_PPM: i64 = 600;

    /// Records that the store's clock was within `time` at some moment between `sent` and
    /// `received`; returns false if that contradicts what was known, so that the store's
    /// clock has been set anew.
    pub fn observe(&mut self, sent: Duration, received: Duration, time: StoreTime) -> bool {
        let at = to_micros(received);
        let observed = OffsetBounds {
            earliest: to_micros(time.earliest) - at,
            latest: to_micros(time.latest) - to_micros(sent),
            at,
        };
        let Some(known) = self.bounds.map(|bounds| bounds.widen(at)) else {
            self.bounds = Some(observed);
            return true;
        };
        let common = OffsetBounds {
            earliest: known.earliest.max(observed.earliest),
            latest: known.latest.min(observed.latest),
            at,
        };
        let is_consistent = common.earliest <= common.latest;
        self.bounds = Some(if is_consistent { common } else { observed });
        is_consistent
    }

    /// Returns the bounds of the store's time at a time of this VM, `None` before any
    /// answer.
    pub fn get_time(&self, at: Duration) -> Option<StoreTime> {
        let at = to_micros(at);
        let bounds = self.bounds?.widen(at);
        Some(StoreTime {
            earliest: from_micros(at + bounds.earliest),
            latest: from_micros(at + bounds.latest),
        })
    }
}

impl OffsetBounds {
    /// Returns the bounds at another time, by which the clocks may have drifted apart.
    fn widen(self, at: i64) -> Self {
        let elapsed = (at - self.at).abs();
        let drift = elapsed * StoreClock::DRIFT_PPM / 1_000_000 + 1;
        Self {
            earliest: self.earliest - drift,
            latest: self.latest + drift,
            at,
        }
    }
}

fn to_micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX / 4)
}

fn from_micros(micros: i64) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}
