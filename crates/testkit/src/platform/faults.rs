//! Faults and limits of the platform's stand-in.

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::time::{Duration, Instant};

/// Writes a second that the service takes.
const WRITES_PER_SECOND: f64 = 400.0;
/// Reads a second that the service takes.
const READS_PER_SECOND: f64 = 2_000.0;

/// Faults that a test switches on and off.
#[derive(Debug)]
pub struct PlatformFaults {
    state: Mutex<FaultState>,
}

#[derive(Debug)]
struct FaultState {
    is_down: bool,
    latency: Duration,
    lost_share: f64,
    lost_next: u32,
    is_silent: bool,
    rng: Pcg32,
    writes: Bucket,
    reads: Bucket,
}

#[derive(Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

/// What the stand-in does with one operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fate {
    /// The operation is carried out and answered after the latency.
    Answered(Duration),
    /// The operation is carried out and its answer lost.
    Lost,
    /// The service is down or over its limit.
    Refused,
    /// The connection gives nothing back.
    Silent,
}

impl PlatformFaults {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            state: Mutex::new(FaultState {
                is_down: false,
                latency: Duration::from_millis(2),
                lost_share: 0.0,
                lost_next: 0,
                is_silent: false,
                rng: Pcg32::seed_from_u64(seed),
                writes: Bucket::new(WRITES_PER_SECOND),
                reads: Bucket::new(READS_PER_SECOND),
            }),
        }
    }

    /// Takes the service down or brings it back.
    pub fn set_down(&self, on: bool) {
        self.state.lock().is_down = on;
    }

    /// Sets the time that every operation takes.
    pub fn set_latency(&self, latency: Duration) {
        self.state.lock().latency = latency;
    }

    /// Loses the answers of a share of the operations after they took effect.
    pub fn lose_answers(&self, share: f64) {
        self.state.lock().lost_share = share;
    }

    /// Loses the answers of the next writes after they took effect.
    pub fn lose_write_answers(&self, writes: u32) {
        self.state.lock().lost_next = writes;
    }

    /// Takes requests and never answers.
    pub fn set_silent(&self, on: bool) {
        self.state.lock().is_silent = on;
    }

    pub(super) fn judge(&self, is_write: bool) -> Fate {
        let mut state = self.state.lock();
        if state.is_silent {
            return Fate::Silent;
        }
        let bucket = if is_write {
            &mut state.writes
        } else {
            &mut state.reads
        };
        if !bucket.take() || state.is_down {
            return Fate::Refused;
        }
        if is_write && state.lost_next > 0 {
            state.lost_next -= 1;
            return Fate::Lost;
        }
        let share = state.lost_share;
        if share > 0.0 && state.rng.random_bool(share) {
            return Fate::Lost;
        }
        Fate::Answered(state.latency)
    }
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate,
            at: Instant::now(),
        }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let earned = now.duration_since(self.at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + earned).min(self.rate);
        self.at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
