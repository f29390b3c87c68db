//! How long callers of a class wait at their first attempt, as learned from what they state.

use std::time::Duration;

/// Time that nearly all first attempts state to be left at least.
///
/// A caller that was refused comes back with less time left, and its latency objective
/// counts from its first attempt. Requests don't tell which attempt they are, so the time
/// is learned while the service refuses no call.
#[derive(Debug, Default)]
pub(crate) struct Patience {
    recent_ms: [u32; Patience::KEPT],
    recorded: usize,
    usual: Option<Duration>,
}

impl Patience {
    /// Statements kept; older ones may be from before a change of the callers.
    const KEPT: usize = 32;
    /// Statements from which the time is used: the next one is shorter in one of nine cases.
    const MIN_RECORDED: usize = 8;
    /// Part of the statements that may come from callers that other VMs refused.
    const IGNORED_DIVISOR: usize = 10;

    /// Records the time that a first attempt states to be left.
    pub(crate) fn record(&mut self, left: Duration) {
        self.recent_ms[self.recorded % Self::KEPT] = left.as_millis() as u32;
        self.recorded += 1;
        if self.recorded >= Self::MIN_RECORDED {
            let mut known = self.recent_ms;
            let known = &mut known[..self.recorded.min(Self::KEPT)];
            known.sort_unstable();
            let usual = known[known.len() / Self::IGNORED_DIVISOR];
            self.usual = Some(Duration::from_millis(usual.into()));
        }
    }

    /// Returns how long a caller with this much time left has certainly waited before, zero
    /// if that is not known.
    pub(crate) fn get_waited(&self, left: Duration) -> Duration {
        self.usual
            .map_or(Duration::ZERO, |usual| usual.saturating_sub(left))
    }
}
