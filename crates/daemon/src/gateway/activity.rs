//! Activity of a caller's connection and its timeouts.

use super::callers::ShutdownStage;
use super::counted::ByteCounts;
use gentianridge_core::CallerLimits;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Kind of the timeout after which a caller's connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TimeoutKind {
    /// A request head was started and is incomplete after `header_timeout`.
    Head,
    /// No request was received within `idle_timeout`.
    Idle,
}

/// State shared by a connection's task and its requests.
///
/// hyper starts its header timeout at the end of the previous answer, which
/// would close idle connections after that timeout. Here the timeout starts at
/// the first byte of the head, which is detected by the byte counts of the
/// connection.
#[derive(Debug)]
pub(super) struct Activity {
    counts: Rc<ByteCounts>,
    is_busy: Cell<bool>,
    has_had_request: Cell<bool>,
    /// End of the last request, or the start of the connection.
    idle_since: Cell<Instant>,
    /// Bytes read up to `idle_since`.
    bytes_at_idle: Cell<u64>,
    head_started: Cell<Option<Instant>>,
}

impl Activity {
    /// Time for the first request on a connection that was opened during a planned stop.
    const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

    pub(super) fn new(now: Instant, counts: Rc<ByteCounts>) -> Self {
        Self {
            counts,
            is_busy: Cell::new(false),
            has_had_request: Cell::new(false),
            idle_since: Cell::new(now),
            bytes_at_idle: Cell::new(0),
            head_started: Cell::new(None),
        }
    }

    pub(super) fn is_busy(&self) -> bool {
        self.is_busy.get()
    }

    pub(super) fn start_request(&self) {
        self.is_busy.set(true);
        self.has_had_request.set(true);
    }

    pub(super) fn end_request(&self, now: Instant) {
        self.is_busy.set(false);
        self.idle_since.set(now);
        self.bytes_at_idle.set(self.counts.get_read());
        self.head_started.set(None);
    }

    /// Returns the time for which the connection may be idle.
    ///
    /// During a planned stop a new connection stays open for its first request, which
    /// the caller sends on the assumption that it will be answered.
    fn get_idle_limit(&self, limits: CallerLimits, stage: ShutdownStage) -> Duration {
        match stage {
            ShutdownStage::KeepOpen | ShutdownStage::CloseAfterAnswer => limits.idle_timeout,
            ShutdownStage::CloseIdle | ShutdownStage::CloseListener => {
                if self.has_had_request.get() {
                    Duration::ZERO
                } else {
                    Self::FIRST_REQUEST_TIMEOUT
                }
            }
        }
    }

    /// Returns the timeout that applies and when it expires, `None` while a
    /// request is under way.
    pub(super) fn get_timeout(
        &self,
        now: Instant,
        limits: CallerLimits,
        stage: ShutdownStage,
    ) -> Option<(TimeoutKind, Instant)> {
        if self.is_busy() {
            return None;
        }
        if self.counts.get_read() == self.bytes_at_idle.get() {
            return Some((
                TimeoutKind::Idle,
                self.idle_since.get() + self.get_idle_limit(limits, stage),
            ));
        }
        let started = self.head_started.get().unwrap_or(now);
        self.head_started.set(Some(started));
        Some((TimeoutKind::Head, started + limits.header_timeout))
    }
}
