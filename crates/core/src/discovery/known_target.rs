//! One target in the local state of this VM.

use super::TargetEntry;
use crate::add_span;
use std::time::{Duration, Instant};

/// A target with its entry and what is known beside it.
#[derive(Debug)]
pub(super) struct KnownTarget {
    /// Entry in use.
    pub(super) entry: TargetEntry,
    /// Digest of the entry in the store, `None` if it was removed or cannot be
    /// decoded. The entry in use differs from it if it holds lasting state or if
    /// the one in the store belongs to an older incarnation.
    pub(super) listed: Option<u64>,
    /// Entry in the store of an older incarnation, which is not used.
    pub(super) older: Option<Box<TargetEntry>>,
    /// True if the entry was removed at a time when it may only have expired.
    pub(super) is_expired: bool,
    /// End of the time for which the target stays in use although the store's copy lacks its
    /// entry.
    pub(super) lost_until: Option<Instant>,
    /// End of the time for which the entry is not used: the target had left before the store
    /// returned from a copy that still lists it.
    pub(super) held_until: Option<Instant>,
    /// True if another process answered at the address.
    pub(super) is_replaced: bool,
    /// End of the time for which the target is cold by its entries.
    pub(super) cold_until: Option<Instant>,
}

impl KnownTarget {
    /// Returns true if the target has an entry that is in use.
    pub(super) fn is_in_use(&self) -> bool {
        (!self.is_expired || self.lost_until.is_some()) && self.held_until.is_none()
    }

    /// Time by which the ends of one warm-up may differ that are computed from two entries,
    /// because entries are read some time after they were written.
    const COLD_TOLERANCE: Duration = Duration::from_secs(1);

    /// Records that the store no longer lists the target.
    pub(super) fn set_unlisted(&mut self) {
        self.is_expired = true;
        self.listed = None;
        self.older = None;
    }

    /// Returns the entry as the store lists it.
    ///
    /// `is_draining` is the only lasting state that is part of an entry's digest.
    pub(super) fn get_listed_entry(&self) -> TargetEntry {
        if let Some(older) = &self.older {
            return (**older).clone();
        }
        let mut entry = self.entry.clone();
        entry.is_draining = true;
        if self.listed != Some(entry.get_digest()) {
            entry.is_draining = false;
        }
        entry
    }

    /// Returns true if the warm-up in an entry of the same process ends clearly after the
    /// known one.
    pub(super) fn is_colder(&self, now: Instant, entry: &TargetEntry) -> bool {
        match self.cold_until {
            None => !entry.cold_left.is_zero(),
            Some(until) => add_span(now, entry.cold_left) > until.max(now) + Self::COLD_TOLERANCE,
        }
    }

    /// Copies to `entry` the state that lasts as long as the incarnation.
    ///
    /// A draining target does not stop draining. The warm-up time of the first
    /// read is kept, because each later read gives a shorter one.
    pub(super) fn keep_lasting_state(&self, entry: &mut TargetEntry) {
        if entry.incarnation == self.entry.incarnation {
            entry.is_draining |= self.entry.is_draining;
            entry.cold_left = self.entry.cold_left;
        }
    }
}
