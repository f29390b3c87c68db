//! What a caller's connection is doing, and how long it may take.

use super::counted::ByteCounts;
use gentianridge_core::CallerLimits;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// Limit at which a connection is ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Limit {
    /// A request head has begun and does not end.
    Head,
    /// No request has come.
    Idle,
}

/// What a connection's loop and its requests share.
///
/// The HTTP library times a head from the end of the last answer on, which
/// would end idle connections after the time for a head. Here the time runs
/// from the first byte, which the counts of the connection show.
#[derive(Debug)]
pub(super) struct Activity {
    counts: Rc<ByteCounts>,
    is_busy: Cell<bool>,
    /// End of the last request, or the start of the connection.
    idle_since: Cell<Instant>,
    /// Bytes read by then.
    idle_read: Cell<u64>,
    head_since: Cell<Option<Instant>>,
}

impl Activity {
    pub(super) fn new(now: Instant, counts: Rc<ByteCounts>) -> Self {
        Self {
            counts,
            is_busy: Cell::new(false),
            idle_since: Cell::new(now),
            idle_read: Cell::new(0),
            head_since: Cell::new(None),
        }
    }

    pub(super) fn is_busy(&self) -> bool {
        self.is_busy.get()
    }

    pub(super) fn start_request(&self) {
        self.is_busy.set(true);
    }

    pub(super) fn end_request(&self, now: Instant) {
        self.is_busy.set(false);
        self.idle_since.set(now);
        self.idle_read.set(self.counts.get_read());
        self.head_since.set(None);
    }

    /// Returns the limit that applies and when it is reached, none while a
    /// request is under way.
    pub(super) fn get_limit(&self, now: Instant, limits: CallerLimits) -> Option<(Limit, Instant)> {
        if self.is_busy() {
            return None;
        }
        if self.counts.get_read() == self.idle_read.get() {
            return Some((Limit::Idle, self.idle_since.get() + limits.idle_timeout));
        }
        let since = self.head_since.get().unwrap_or(now);
        self.head_since.set(Some(since));
        Some((Limit::Head, since + limits.header_timeout))
    }
}
