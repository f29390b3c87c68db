//! The place of a waiting call among those of its priority.

use std::time::{Duration, Instant};

/// Orders the waiting calls of one priority; the lowest rank goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// True if the answer can no longer meet the latency objective. A slot for such a call
    /// would make another one late as well.
    pub(crate) is_late: bool,
    /// Turn of the caller's workspace, 0 without workspaces.
    pub(crate) turn: u64,
    /// Latest start: the time until which an answer is useful, less the time that work of
    /// the kind usually takes, so that long work does not wait behind all short work.
    pub(crate) start_by: Instant,
}

impl Rank {
    /// Returns the rank of a first attempt that arrives now and whose answer is useful for
    /// some time.
    pub(crate) fn of_next(now: Instant, useful: Duration, work: Duration) -> Self {
        Self {
            is_late: false,
            turn: 0,
            start_by: now + useful.saturating_sub(work),
        }
    }
}
