//! Faults and rate limits of the platform.

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::time::{Duration, Instant};

/// Limit of writes per second.
const WRITES_PER_SECOND: f64 = 400.0;
/// Limit of reads per second.
const READS_PER_SECOND: f64 = 2_000.0;

/// Fault switches of the platform.
#[derive(Debug)]
pub struct PlatformFaults {
    state: Mutex<FaultState>,
}

#[derive(Debug)]
struct FaultState {
    is_down: bool,
    latency: Duration,
    lost_answer_share: f64,
    lost_write_answers: u32,
    is_silent: bool,
    rng: Pcg32,
    write_bucket: TokenBucket,
    read_bucket: TokenBucket,
}

#[derive(Debug)]
struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

/// Outcome of one operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OperationOutcome {
    /// The operation takes effect and is answered after the latency.
    Answered(Duration),
    /// The operation takes effect and its answer is lost.
    Lost,
    /// The service is down or the rate limit is exceeded.
    Refused,
    /// The operation has no effect and is not answered.
    Silent,
}

impl PlatformFaults {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            state: Mutex::new(FaultState {
                is_down: false,
                latency: Duration::from_millis(2),
                lost_answer_share: 0.0,
                lost_write_answers: 0,
                is_silent: false,
                rng: Pcg32::seed_from_u64(seed),
                write_bucket: TokenBucket::new(WRITES_PER_SECOND),
                read_bucket: TokenBucket::new(READS_PER_SECOND),
            }),
        }
    }

    /// Makes the service refuse every operation while it is on.
    pub fn set_down(&self, on: bool) {
        self.state.lock().is_down = on;
    }

    /// Sets the time from an operation to its answer.
    pub fn set_latency(&self, latency: Duration) {
        self.state.lock().latency = latency;
    }

    /// Loses the answers of a share of the operations, which take effect.
    pub fn lose_answers(&self, share: f64) {
        self.state.lock().lost_answer_share = share;
    }

    /// Loses the answers of the next writes, which take effect.
    pub fn lose_write_answers(&self, writes: u32) {
        self.state.lock().lost_write_answers = writes;
    }

    /// Accepts operations without executing or answering them.
    pub fn set_silent(&self, on: bool) {
        self.state.lock().is_silent = on;
    }

    pub(super) fn draw_outcome(&self, is_write: bool) -> OperationOutcome {
        let mut state = self.state.lock();
        if state.is_silent {
            return OperationOutcome::Silent;
        }
        let bucket = if is_write {
            &mut state.write_bucket
        } else {
            &mut state.read_bucket
        };
        if !bucket.try_take() || state.is_down {
            return OperationOutcome::Refused;
        }
        if is_write && state.lost_write_answers > 0 {
            state.lost_write_answers -= 1;
            return OperationOutcome::Lost;
        }
        let share = state.lost_answer_share;
        if share > 0.0 && state.rng.random_bool(share) {
            return OperationOutcome::Lost;
        }
        OperationOutcome::Answered(state.latency)
    }
}

impl TokenBucket {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate,
            refilled_at: Instant::now(),
        }
    }

    fn try_take(&mut self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + refill).min(self.rate);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
