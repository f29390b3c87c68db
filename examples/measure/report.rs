//! Figures of runs and their range over the seeds.

use crate::model::Work;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::fmt;

/// Longest time that the histograms distinguish, in microseconds.
const MAX_US: u64 = 120_000_000;

/// Figures of one run.
#[derive(Debug)]
pub(crate) struct Figures {
    pub(crate) short: WorkFigures,
    pub(crate) long: WorkFigures,
    pub(crate) first_attempts: u64,
    pub(crate) retries: u64,
    pub(crate) hedges: u64,
    pub(crate) ejections: u64,
    /// Short calls that arrived after the settle period of the fault.
    pub(crate) settled: u64,
    /// Those of `settled` that failed, were refused or were answered late.
    pub(crate) settled_lost: u64,
}

/// Figures of one run for one kind of work.
#[derive(Debug)]
pub(crate) struct WorkFigures {
    pub(crate) calls: u64,
    pub(crate) in_time: u64,
    pub(crate) refused: u64,
    pub(crate) failed: u64,
    times: Histogram<u64>,
}

impl Figures {
    pub(crate) fn new() -> Self {
        Self {
            short: WorkFigures::new(),
            long: WorkFigures::new(),
            first_attempts: 0,
            retries: 0,
            hedges: 0,
            ejections: 0,
            settled: 0,
            settled_lost: 0,
        }
    }

    pub(crate) fn get_work_mut(&mut self, work: Work) -> &mut WorkFigures {
        match work {
            Work::Short => &mut self.short,
            Work::Long => &mut self.long,
        }
    }
}

impl WorkFigures {
    fn new() -> Self {
        Self {
            calls: 0,
            in_time: 0,
            refused: 0,
            failed: 0,
            times: Histogram::new_with_max(MAX_US, 3).expect("constant bounds are valid"),
        }
    }

    pub(crate) fn record(&mut self, elapsed_us: u64, is_in_time: bool) {
        self.times.saturating_record(elapsed_us);
        self.in_time += u64::from(is_in_time);
    }

    fn get_ms(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn get_goodput(&self) -> f64 {
        self.in_time as f64 * 100.0 / self.calls.max(1) as f64
    }
}

/// Median and range over the seeds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Spread {
    pub(crate) min: f64,
    pub(crate) median: f64,
    pub(crate) max: f64,
}

impl Spread {
    fn new(runs: &[Figures], read: impl Fn(&Figures) -> f64) -> Self {
        let mut values: Vec<f64> = runs.iter().map(read).collect();
        values.sort_by(f64::total_cmp);
        Self {
            min: values[0],
            median: values[values.len() / 2],
            max: values[values.len() - 1],
        }
    }

    fn to_json(self) -> Value {
        json!({ "min": self.min, "median": self.median, "max": self.max })
    }
}

/// The figures of one policy in one scenario over all seeds.
#[derive(Debug)]
pub(crate) struct Summary {
    scenario: &'static str,
    policy: &'static str,
    p50: Spread,
    p99: Spread,
    p999: Spread,
    goodput: Spread,
    refused: Spread,
    failed: Spread,
    long_goodput: Spread,
    long_p99: Spread,
    attempts: Spread,
    hedges: Spread,
    ejections: Spread,
    lost: Spread,
}

impl Summary {
    pub(crate) fn new(scenario: &'static str, policy: &'static str, runs: &[Figures]) -> Self {
        let share = |part: u64, all: u64| part as f64 * 100.0 / all.max(1) as f64;
        Self {
            scenario,
            policy,
            p50: Spread::new(runs, |run| run.short.get_ms(0.5)),
            p99: Spread::new(runs, |run| run.short.get_ms(0.99)),
            p999: Spread::new(runs, |run| run.short.get_ms(0.999)),
            goodput: Spread::new(runs, |run| run.short.get_goodput()),
            refused: Spread::new(runs, |run| share(run.short.refused, run.short.calls)),
            failed: Spread::new(runs, |run| share(run.short.failed, run.short.calls)),
            long_goodput: Spread::new(runs, |run| run.long.get_goodput()),
            long_p99: Spread::new(runs, |run| run.long.get_ms(0.99)),
            attempts: Spread::new(runs, |run| {
                share(
                    run.first_attempts + run.retries + run.hedges,
                    run.first_attempts,
                ) / 100.0
            }),
            hedges: Spread::new(runs, |run| share(run.hedges, run.first_attempts)),
            ejections: Spread::new(runs, |run| run.ejections as f64),
            lost: Spread::new(runs, |run| share(run.settled_lost, run.settled)),
        }
    }

    pub(crate) fn get_scenario(&self) -> &'static str {
        self.scenario
    }

    pub(crate) fn get_policy(&self) -> &'static str {
        self.policy
    }

    pub(crate) fn is_ours(&self) -> bool {
        self.policy == "ours"
    }

    /// Returns the p99 of short work in milliseconds.
    pub(crate) fn get_p99(&self) -> Spread {
        self.p99
    }

    pub(crate) fn format_header() -> String {
        format!(
            "{:<12} {:<11} {:>8} {:>8} {:>17} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>6} {:>9}",
            "scenario",
            "policy",
            "p50 ms",
            "p99 ms",
            "p99 min..max",
            "p99.9",
            "good %",
            "refus %",
            "fail %",
            "lost %",
            "long %",
            "attempt",
            "hedge%",
            "ejections"
        )
    }

    pub(crate) fn to_json(&self) -> Value {
        json!({
            "scenario": self.scenario,
            "policy": self.policy,
            "short_p50_ms": self.p50.to_json(),
            "short_p99_ms": self.p99.to_json(),
            "short_p999_ms": self.p999.to_json(),
            "short_in_time_percent": self.goodput.to_json(),
            "short_refused_percent": self.refused.to_json(),
            "short_failed_percent": self.failed.to_json(),
            "settled_lost_percent": self.lost.to_json(),
            "long_in_time_percent": self.long_goodput.to_json(),
            "long_p99_ms": self.long_p99.to_json(),
            "attempts_per_first": self.attempts.to_json(),
            "hedges_percent": self.hedges.to_json(),
            "ejections": self.ejections.to_json(),
        })
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let span = format!("{:.1}..{:.1}", self.p99.min, self.p99.max);
        writeln!(
            f,
            "{:<12} {:<11} {:>8.2} {:>8.2} {:>17} {:>8.2} {:>8.2} {:>8.2} {:>8.3} {:>8.3} {:>8.2} {:>7.3} {:>6.2} {:>9.0}",
            self.scenario,
            self.policy,
            self.p50.median,
            self.p99.median,
            span,
            self.p999.median,
            self.goodput.median,
            self.refused.median,
            self.failed.median,
            self.lost.median,
            self.long_goodput.median,
            self.attempts.median,
            self.hedges.median,
            self.ejections.median
        )
    }
}
