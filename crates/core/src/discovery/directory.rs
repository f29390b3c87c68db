//! The targets that this VM believes in.

use super::{Incarnation, TargetEntry};
use crate::TargetSpec;
use smol_str::SmolStr;
use std::time::{Duration, Instant};

#[derive(Debug)]
struct Known {
    entry: TargetEntry,
    /// Set when the entry has gone while it may only have lapsed.
    has_lapsed: bool,
    /// Set when something else answered at the address.
    is_replaced: bool,
}

impl Known {
    /// Carries over what holds for the whole life of a start: it does not stop
    /// draining, and the time for which it stays slow counts from its first
    /// reading, since each later one is shorter.
    fn adapt(&self, entry: &mut TargetEntry) {
        if entry.incarnation == self.entry.incarnation {
            entry.is_draining |= self.entry.is_draining;
            entry.cold_left = self.entry.cold_left;
        }
    }
}

/// Targets by their registered name, and whether the list can be believed.
///
/// - An entry that goes while the list is readable is a target that has gone.
/// - An entry that goes while the store is away, or within
///   [`Self::SETTLE_PERIOD`] of its return, may have lapsed for want of a heartbeat.
///   Its target stays known until the time for its return has passed, and it
///   is used while fewer than half of the service's targets are listed: then
///   the store has lost heartbeats. A few that are missing have rather gone
///   while this VM could not see it.
/// - `draining` holds for a start of a target: a stale reading does not take
///   it back, a new start does.
#[derive(Debug, Default)]
pub struct Directory {
    known: Vec<Known>,
    is_away: bool,
    settled_at: Option<Instant>,
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
        self.known.is_empty()
    }

    /// Returns the targets of a service, draining ones included.
    pub fn get_targets(&self, service: &str, connections: u16) -> Vec<TargetSpec> {
        let of_service = || {
            self.known
                .iter()
                .filter(|known| known.entry.service == service && !known.is_replaced)
        };
        let listed = of_service().filter(|known| !known.has_lapsed).count();
        let uses_lapsed = listed * 2 < of_service().count();
        of_service()
            .filter(|known| uses_lapsed || !known.has_lapsed)
            .map(|known| known.entry.make_spec(connections))
            .collect()
    }

    /// Returns true if the entry says more than is known.
    pub fn is_change(&self, entry: &TargetEntry) -> bool {
        match self.find(&entry.incarnation.id) {
            Err(_) => true,
            Ok(index) => {
                let known = &self.known[index];
                let mut entry = entry.clone();
                known.adapt(&mut entry);
                known.has_lapsed || entry != known.entry
            }
        }
    }

    /// Returns the names of known targets that a whole list does not hold.
    pub fn find_missing(&self, entries: &[TargetEntry]) -> Vec<SmolStr> {
        self.known
            .iter()
            .map(|known| known.entry.incarnation.id.clone())
            .filter(|id| entries.iter().all(|entry| entry.incarnation.id != *id))
            .collect()
    }

    /// Returns true if a target with the name is known and listed.
    pub fn is_listed(&self, id: &str) -> bool {
        self.find(id)
            .is_ok_and(|index| !self.known[index].has_lapsed)
    }

    /// Returns how long entries that go may have lapsed, seen from now.
    pub fn get_settle_left(&self, now: Instant) -> Duration {
        match self.settled_at {
            Some(at) if !self.is_away => at.saturating_duration_since(now),
            _ => Duration::ZERO,
        }
    }

    /// Notes that the store returned lately, as a peer tells.
    pub fn extend_settle(&mut self, now: Instant, left: Duration) {
        if !left.is_zero() {
            self.settled_at = Some(self.settled_at.map_or(now + left, |at| at.max(now + left)));
        }
    }

    /// Notes that the list cannot be read.
    pub fn set_unreadable(&mut self) {
        self.is_away = true;
    }

    /// Notes that the list can be read.
    pub fn set_readable(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_away) {
            self.settled_at = Some(now + Self::SETTLE_PERIOD);
        }
    }

    /// Takes in the whole list; returns the services that changed.
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

    /// Takes in one new or changed entry.
    pub fn put(&mut self, entry: TargetEntry, changed: &mut Vec<SmolStr>) {
        let id = &entry.incarnation.id;
        match self.find(id) {
            Ok(index) => self.update(index, entry, changed),
            Err(index) => {
                changed.push(entry.service.clone());
                let known = Known {
                    entry,
                    has_lapsed: false,
                    is_replaced: false,
                };
                self.known.insert(index, known);
            }
        }
    }

    /// Takes in that an entry has gone.
    pub fn remove(&mut self, now: Instant, id: &str, changed: &mut Vec<SmolStr>) {
        let Ok(index) = self.find(id) else {
            return;
        };
        if self.is_settling(now) {
            let known = &mut self.known[index];
            known.has_lapsed = true;
            changed.push(known.entry.service.clone());
            return;
        }
        let known = self.known.remove(index);
        changed.push(known.entry.service);
    }

    /// Notes that another process answered at a target's address.
    pub fn set_replaced(&mut self, incarnation: &Incarnation, changed: &mut Vec<SmolStr>) {
        let Ok(index) = self.find(&incarnation.id) else {
            return;
        };
        let known = &mut self.known[index];
        if known.entry.incarnation == *incarnation && !known.is_replaced {
            known.is_replaced = true;
            changed.push(known.entry.service.clone());
        }
    }

    /// Returns when [`Self::expire`] has something to do.
    pub fn next_expiry(&self) -> Option<Instant> {
        let has_lapsed = self.known.iter().any(|known| known.has_lapsed);
        self.settled_at.filter(|_| has_lapsed && !self.is_away)
    }

    /// Drops the targets that lapsed and did not return in time.
    pub fn expire(&mut self, now: Instant, changed: &mut Vec<SmolStr>) {
        if self.is_settling(now) {
            return;
        }
        self.known.retain(|known| {
            if known.has_lapsed {
                changed.push(known.entry.service.clone());
            }
            !known.has_lapsed
        });
    }

    fn update(&mut self, index: usize, mut entry: TargetEntry, changed: &mut Vec<SmolStr>) {
        let known = &mut self.known[index];
        let old = &known.entry;
        if entry.incarnation.born_ms < old.incarnation.born_ms {
            return;
        }
        known.adapt(&mut entry);
        let old = &known.entry;
        let is_same_place = entry.incarnation == old.incarnation && entry.addr == old.addr;
        known.is_replaced &= is_same_place;
        let was_lapsed = std::mem::take(&mut known.has_lapsed);
        if was_lapsed || entry != *old {
            changed.push(old.service.clone());
            if entry.service != old.service {
                changed.push(entry.service.clone());
            }
            known.entry = entry;
        }
    }

    fn is_settling(&self, now: Instant) -> bool {
        self.is_away || self.settled_at.is_some_and(|at| now < at)
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.known
            .binary_search_by(|known| known.entry.incarnation.id.as_str().cmp(id))
    }
}
