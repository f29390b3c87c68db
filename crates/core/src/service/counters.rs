//! Counters of a service.

/// Totals since the service was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls that arrived.
    pub arrivals: u64,
    /// First attempts, trials included.
    pub first_attempts: u64,
    /// Repeated attempts after a failure.
    pub retries: u64,
    /// Second attempts beside a slow one.
    pub hedges: u64,
    /// Hedges that answered first.
    pub hedge_wins: u64,
    /// Answers handed on.
    pub delivered: u64,
    /// Refusals that were never dispatched or certainly not run.
    pub refused_not_run: u64,
    /// Refusals after an attempt that may have run.
    pub refused_unknown: u64,
    /// Attempts that a target shed.
    pub sheds: u64,
    /// Attempts that failed otherwise.
    pub failures: u64,
    /// Retries not made because the budget was spent.
    pub retries_denied: u64,
    /// Ejections of targets.
    pub ejections: u64,
    /// Ejections not made because too few targets would remain.
    pub ejections_denied: u64,
    /// Attempts that ran many times their class's usual time.
    pub stragglers: u64,
}
