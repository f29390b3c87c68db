//! Distribution of the answer times of a class.

use std::time::Duration;

const BUCKETS: usize = 64;
const FIRST_BUCKET_MICROS: f32 = 100.0;
const BUCKET_RATIO: f32 = 1.25;
/// Samples after which all counts are halved, so that old samples lose weight.
const DECAY_SAMPLES: u32 = 1024;
/// Samples between two computations of the quantiles.
const REFRESH_SAMPLES: u32 = 16;
/// Samples below which the quantiles are not used.
const MIN_SAMPLES: u32 = 20;
const HOLD_WEIGHT: f32 = 0.05;

/// Decaying histogram of answer times.
///
/// Logarithmic buckets give 25% resolution in 256 bytes, and reading a
/// quantile needs no allocation.
#[derive(Debug)]
pub(crate) struct AnswerTimes {
    counts: [u32; BUCKETS],
    total: u32,
    since_refresh: u32,
    median: Duration,
    p95: Duration,
    p99: Duration,
    hold_time_secs: f32,
}

impl AnswerTimes {
    /// Median assumed for a class without an objective until enough answers were recorded.
    pub(crate) const INITIAL: Duration = Duration::from_millis(10);

    pub(crate) fn new(initial: Duration) -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
            since_refresh: 0,
            median: initial,
            p95: initial * 5,
            p99: initial * 8,
            hold_time_secs: initial.as_secs_f32(),
        }
    }

    pub(crate) fn record_answer(&mut self, elapsed: Duration) {
        self.counts[bucket_of(elapsed)] += 1;
        self.total += 1;
        self.since_refresh += 1;
        if self.total >= DECAY_SAMPLES {
            self.decay();
        }
        if self.since_refresh >= REFRESH_SAMPLES && self.total >= MIN_SAMPLES {
            self.refresh();
        }
    }

    pub(crate) fn record_hold(&mut self, elapsed: Duration) {
        self.hold_time_secs += HOLD_WEIGHT * (elapsed.as_secs_f32() - self.hold_time_secs);
    }

    /// Median answer time.
    pub(crate) fn get_median(&self) -> Duration {
        self.median
    }

    /// 95th percentile of the answer times.
    pub(crate) fn get_p95(&self) -> Duration {
        self.p95
    }

    /// 99th percentile of the answer times.
    pub(crate) fn get_p99(&self) -> Duration {
        self.p99
    }

    /// Mean time for which a request occupies its slot.
    pub(crate) fn get_hold_time(&self) -> Duration {
        Duration::from_secs_f32(self.hold_time_secs.max(0.000_1))
    }

    pub(crate) fn has_enough_samples(&self) -> bool {
        self.total >= MIN_SAMPLES
    }

    fn decay(&mut self) {
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += *count;
        }
    }

    fn refresh(&mut self) {
        self.since_refresh = 0;
        self.median = self.quantile(50);
        self.p95 = self.quantile(95);
        self.p99 = self.quantile(99);
    }

    fn quantile(&self, percent: u32) -> Duration {
        let rank = (self.total * percent).div_ceil(100);
        let mut cumulative = 0;
        for (index, count) in self.counts.iter().enumerate() {
            cumulative += count;
            if cumulative >= rank {
                return bucket_top(index);
            }
        }
        bucket_top(BUCKETS - 1)
    }
}

fn bucket_of(elapsed: Duration) -> usize {
    let ratio = elapsed.as_secs_f32() * 1_000_000.0 / FIRST_BUCKET_MICROS;
    if ratio <= 1.0 {
        return 0;
    }
    let index = ratio.ln() / BUCKET_RATIO.ln();
    (index as usize + 1).min(BUCKETS - 1)
}

fn bucket_top(index: usize) -> Duration {
    let micros = FIRST_BUCKET_MICROS * BUCKET_RATIO.powi(index as i32);
    Duration::from_secs_f32(micros / 1_000_000.0)
}

/// Returns a time as a multiple of the typical one.
pub(crate) fn ratio_of(elapsed: Duration, typical: Duration) -> f32 {
    elapsed.as_secs_f32() / typical.as_secs_f32().max(0.000_1)
}
