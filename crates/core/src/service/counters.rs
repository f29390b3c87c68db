//! Counters of a service.

/// Totals since the service was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls that arrived.
    pub arrivals: u64,
    /// First attempts, trials included.
    pub first_attempts: u64,
    /// Attempts made after a failed one.
    pub retries: u64,
    /// Second attempts started while a slow first one runs.
    pub hedges: u64,
    /// Hedges that answered first.
    pub hedge_wins: u64,
    /// Answers forwarded to callers.
    pub delivered: u64,
    /// Refused calls that were never dispatched or certainly not run.
    pub refused_not_run: u64,
    /// Refused calls of which an attempt may have run.
    pub refused_unknown: u64,
    /// Attempts that a target shed.
    pub sheds: u64,
    /// Attempts that failed for another reason.
    pub failures: u64,
    /// Retries not made because a budget was exhausted.
    pub retries_denied: u64,
    /// Ejections of targets.
    pub ejections: u64,
    /// Ejections not made because too few targets would remain.
    pub ejections_denied: u64,
    /// Attempts that ran a multiple of their class's 95th-percentile answer time.
    pub stragglers: u64,
}
