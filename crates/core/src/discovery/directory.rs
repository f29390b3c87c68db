//! The targets in the local state of this VM.

use super::{Incarnation, TargetEntry};
use crate::TargetSpec;
use smol_str::SmolStr;
use std::time::{Duration, Instant};

#[derive(Debug)]
struct KnownTarget {
    entry: TargetEntry,
    /// True if the entry was removed at a time when it may only have expired.
    is_expired: bool,
    /// True if another process answered at the address.
    is_replaced: bool,
}

impl KnownTarget {
    /// Copies to `entry` the state that lasts as long as the incarnation.
    ///
    /// A draining target does not stop draining. The warm-up time of the first
    /// read is kept, because each later read gives a shorter one.
    fn keep_lasting_state(&self, entry: &mut TargetEntry) {
        if entry.incarnation == self.entry.incarnation {
            entry.is_draining |= self.entry.is_draining;
            entry.cold_left = self.entry.cold_left;
        }
    }
}

/// Targets by their registered name, and whether the list is readable.
///
/// - If an entry is removed while the list is readable, its target has stopped.
/// - If an entry is removed while the store is unavailable, or within
///   [`Self::SETTLE_PERIOD`] of its return, it may have expired because of a
///   missing heartbeat. Its target is kept until the settle period ends, and is
///   used while fewer than half of the service's targets are listed, because
///   the store has then lost heartbeats. If only a few targets are missing,
///   they have more likely stopped while this VM could not read the list.
/// - `is_draining` lasts as long as an incarnation: a stale read does not reset
///   it, a new incarnation does.
#[derive(Debug, Default)]
pub struct Directory {
    targets: Vec<KnownTarget>,
    is_unreadable: bool,
    settles_at: Option<Instant>,
}

impl Directory {
    /// Time after the store's return within which live targets register again.
    pub const SETTLE_PERIOD: Duration = Duration::from_secs(2);

    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns true if no target is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the targets of a service, draining ones included and replaced ones
    /// excluded.
    pub fn get_targets(&self, service: &str, connections: u16) -> Vec<TargetSpec> {
        let of_service = || {
            self.targets
                .iter()
                .filter(|known| known.entry.service == service && !known.is_replaced)
        };
        let listed = of_service().filter(|known| !known.is_expired).count();
        let uses_expired = listed * 2 < of_service().count();
        of_service()
            .filter(|known| uses_expired || !known.is_expired)
            .map(|known| known.entry.make_spec(connections))
            .collect()
    }

    /// Returns true if the entry would change the directory.
    pub fn is_change(&self, entry: &TargetEntry) -> bool {
        match self.find(&entry.incarnation.id) {
            Err(_) => true,
            Ok(index) => {
                let known = &self.targets[index];
                let mut entry = entry.clone();
                known.keep_lasting_state(&mut entry);
                known.is_expired || entry != known.entry
            }
        }
    }

    /// Returns the names of known targets that are missing from a full list.
    pub fn find_missing(&self, entries: &[TargetEntry]) -> Vec<SmolStr> {
        self.targets
            .iter()
            .map(|known| known.entry.incarnation.id.clone())
            .filter(|id| entries.iter().all(|entry| entry.incarnation.id != *id))
            .collect()
    }

    /// Returns true if a target with the name is known and its entry has not expired.
    pub fn is_listed(&self, id: &str) -> bool {
        self.find(id)
            .is_ok_and(|index| !self.targets[index].is_expired)
    }

    /// Returns the rest of the settle period, in which a removed entry may only
    /// have expired.
    pub fn get_settle_left(&self, now: Instant) -> Duration {
        match self.settles_at {
            Some(at) if !self.is_unreadable => at.saturating_duration_since(now),
            _ => Duration::ZERO,
        }
    }

    /// Extends the settle period to the end that a peer reports.
    pub fn extend_settle(&mut self, now: Instant, left: Duration) {
        if !left.is_zero() {
            self.settles_at = Some(self.settles_at.map_or(now + left, |at| at.max(now + left)));
        }
    }

    /// Records that the list cannot be read.
    pub fn set_unreadable(&mut self) {
        self.is_unreadable = true;
    }

    /// Records that the list can be read.
    pub fn set_readable(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_unreadable) {
            self.settles_at = Some(now + Self::SETTLE_PERIOD);
        }
    }

    /// Applies a full list and returns the services that changed.
    pub fn apply_full(&mut self, now: Instant, entries: Vec<TargetEntry>) -> Vec<SmolStr> {
        let mut changed = Vec::new();
        for id in self.find_missing(&entries) {
            self.remove(now, &id, &mut changed);
        }
        for entry in entries {
            self.put(entry, &mut changed);
        }
        changed
    }

    /// Applies one new or changed entry.
    pub fn put(&mut self, entry: TargetEntry, changed: &mut Vec<SmolStr>) {
        let id = &entry.incarnation.id;
        match self.find(id) {
            Ok(index) => self.update(index, entry, changed),
            Err(index) => {
                changed.push(entry.service.clone());
                let known = KnownTarget {
                    entry,
                    is_expired: false,
                    is_replaced: false,
                };
                self.targets.insert(index, known);
            }
        }
    }

    /// Applies the removal of an entry.
    pub fn remove(&mut self, now: Instant, id: &str, changed: &mut Vec<SmolStr>) {
        let Ok(index) = self.find(id) else {
            return;
        };
        if self.is_settling(now) {
            let known = &mut self.targets[index];
            known.is_expired = true;
            changed.push(known.entry.service.clone());
            return;
        }
        let known = self.targets.remove(index);
        changed.push(known.entry.service);
    }

    /// Records that another process answered at a target's address.
    pub fn set_replaced(&mut self, incarnation: &Incarnation, changed: &mut Vec<SmolStr>) {
        let Ok(index) = self.find(&incarnation.id) else {
            return;
        };
        let known = &mut self.targets[index];
        if known.entry.incarnation == *incarnation && !known.is_replaced {
            known.is_replaced = true;
            changed.push(known.entry.service.clone());
        }
    }

    /// Returns the time at which [`Self::expire`] is to be called next.
    pub fn next_expiry(&self) -> Option<Instant> {
        let has_expired = self.targets.iter().any(|known| known.is_expired);
        self.settles_at
            .filter(|_| has_expired && !self.is_unreadable)
    }

    /// Removes the targets that did not register again within the settle period.
    pub fn expire(&mut self, now: Instant, changed: &mut Vec<SmolStr>) {
        if self.is_settling(now) {
            return;
        }
        self.targets.retain(|known| {
            if known.is_expired {
                changed.push(known.entry.service.clone());
            }
            !known.is_expired
        });
    }

    fn update(&mut self, index: usize, mut entry: TargetEntry, changed: &mut Vec<SmolStr>) {
        let known = &mut self.targets[index];
        let old = &known.entry;
        if entry.incarnation.born_ms < old.incarnation.born_ms {
            return;
        }
        known.keep_lasting_state(&mut entry);
        let old = &known.entry;
        let is_same_process = entry.incarnation == old.incarnation && entry.addr == old.addr;
        known.is_replaced &= is_same_process;
        let was_expired = std::mem::take(&mut known.is_expired);
        if was_expired || entry != *old {
            changed.push(old.service.clone());
            if entry.service != old.service {
                changed.push(entry.service.clone());
            }
            known.entry = entry;
        }
    }

    fn is_settling(&self, now: Instant) -> bool {
        self.is_unreadable || self.settles_at.is_some_and(|at| now < at)
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|known| known.entry.incarnation.id.as_str().cmp(id))
    }
}
