//! Tables of the results of calls.

use super::{CallOutcome, CallResult};
use hdrhistogram::Histogram;
use std::fmt;

/// Highest value of the histograms, in microseconds; longer times count as this one.
const MAX_TIME_US: u64 = 120_000_000;

/// Table with one line for each group of calls.
#[derive(Debug)]
pub struct CallResultTable {
    groups: Vec<Group>,
}

#[derive(Debug)]
struct Group {
    name: &'static str,
    calls: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    wrong: u64,
    answer_times: Histogram<u64>,
    added_latency: Histogram<u64>,
    codes: Vec<(u16, u64)>,
}

impl CallResultTable {
    /// Counts the results by group.
    pub fn new(results: &[CallResult]) -> Self {
        let mut table = Self { groups: Vec::new() };
        for result in results {
            table.add(result);
        }
        table.groups.sort_by_key(|group| group.name);
        table
    }

    /// Returns a quantile of the answer times of a group in milliseconds.
    pub fn get_quantile(&self, group: &str, quantile: f64) -> Option<f64> {
        let group = self.groups.iter().find(|g| g.name == group)?;
        Some(group.answer_times.value_at_quantile(quantile) as f64 / 1000.0)
    }

    /// Returns the share of calls of a group that were answered.
    pub fn get_answered_share(&self, group: &str) -> Option<f64> {
        let group = self.groups.iter().find(|g| g.name == group)?;
        Some(group.answered as f64 / group.calls as f64)
    }

    /// Returns the number of answers that were truncated or belong to another call.
    pub fn count_wrong(&self) -> u64 {
        self.groups.iter().map(|group| group.wrong).sum()
    }

    fn add(&mut self, result: &CallResult) {
        let index = match self.groups.iter().position(|g| g.name == result.group) {
            Some(index) => index,
            None => {
                self.groups.push(Group::new(result.group));
                self.groups.len() - 1
            }
        };
        self.groups[index].add(result);
    }
}

impl Group {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            calls: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            wrong: 0,
            answer_times: make_histogram(),
            added_latency: make_histogram(),
            codes: Vec::new(),
        }
    }

    fn add(&mut self, result: &CallResult) {
        self.calls += 1;
        match result.outcome {
            CallOutcome::Answered => {
                self.answered += 1;
                self.answer_times
                    .saturating_record(result.elapsed.as_micros() as u64);
                if let Some(added_latency) = result.added_latency {
                    self.added_latency
                        .saturating_record(added_latency.as_micros() as u64);
                }
            }
            CallOutcome::NotRun => self.not_run += 1,
            CallOutcome::Unknown => self.unknown += 1,
            CallOutcome::Wrong => self.wrong += 1,
        }
        if let Some(code) = result.code {
            match self
                .codes
                .binary_search_by_key(&code, |(group_code, _)| *group_code)
            {
                Ok(index) => self.codes[index].1 += 1,
                Err(index) => self.codes.insert(index, (code, 1)),
            }
        }
    }
}

fn make_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_TIME_US, 3).expect("constant bounds are valid for a histogram")
}

impl fmt::Display for CallResultTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<18} {:>7} {:>8} {:>8} {:>8} {:>6} {:>9} {:>9} {:>9} {:>10} {:>10}  refused by code",
            "class",
            "calls",
            "answered",
            "not-run",
            "unknown",
            "wrong",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "added p50",
            "added p99"
        )?;
        for group in &self.groups {
            let answer_time =
                |quantile| group.answer_times.value_at_quantile(quantile) as f64 / 1000.0;
            let added_latency =
                |quantile| group.added_latency.value_at_quantile(quantile) as f64 / 1000.0;
            let codes: Vec<String> = group
                .codes
                .iter()
                .map(|(code, count)| format!("{code}: {count}"))
                .collect();
            writeln!(
                f,
                "{:<18} {:>7} {:>8} {:>8} {:>8} {:>6} {:>9.2} {:>9.2} {:>9.2} {:>10.2} {:>10.2}  {}",
                group.name,
                group.calls,
                group.answered,
                group.not_run,
                group.unknown,
                group.wrong,
                answer_time(0.5),
                answer_time(0.99),
                answer_time(0.999),
                added_latency(0.5),
                added_latency(0.99),
                codes.join(", ")
            )?;
        }
        Ok(())
    }
}
