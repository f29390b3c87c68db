//! Detection of times in which this process did not run.

use std::time::{Duration, Instant};

/// Detects that this process did not run for a while, because it was paused or
/// got no processor.
///
/// Datagrams that arrived meanwhile wait in the socket, and the ages of facts in
/// them do not include that time. After a stall, such ages are too low
/// until the socket is empty.
#[derive(Debug, Default)]
pub struct StallDetector {
    last_run: Option<Instant>,
    backlog_until: Option<Instant>,
}

impl StallDetector {
    /// Time between two observations from which the process has stalled. It
    /// exceeds the interval of the gossip rounds, each of which observes.
    pub const LIMIT: Duration = Duration::from_millis(380);
    /// Time after a stall in which the datagrams that waited are received.
    pub const BACKLOG_TIME: Duration = Duration::from_millis(100);

    /// Records that the process runs; returns true if it has stalled.
    pub fn observe(&mut self, now: Instant) -> bool {
        let last_run = self.last_run.replace(now);
        let has_stalled =
            last_run.is_some_and(|last| now.saturating_duration_since(last) > Self::LIMIT);
        if has_stalled {
            self.backlog_until = Some(now + Self::BACKLOG_TIME);
        }
        has_stalled
    }

    /// Returns true if a datagram that is received now may have waited since
    /// before the end of a stall.
    pub fn has_backlog(&self, now: Instant) -> bool {
        self.backlog_until.is_some_and(|until| now < until)
    }
}
