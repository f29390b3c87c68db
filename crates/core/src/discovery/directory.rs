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

/// Targets by their registered name, and whether the list can be believed.
///
/// - An entry that goes while the list is readable is a target that has gone.
/// - An entry that goes while the store is away, or within
///   [`Self::SETTLE`] of its return, may have lapsed for want of a heartbeat:
///   the target stays in use until the time for its return has passed.
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
    pub const SETTLE: Duration = Duration::from_secs(2);

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
        self.known
            .iter()
            .filter(|known| known.entry.service == service && !known.is_replaced)
            .map(|known| known.entry.make_spec(connections))
            .collect()
    }

    /// Notes that the list cannot be read.
    pub fn set_away(&mut self) {
        self.is_away = true;
    }

    /// Notes that the list can be read.
    pub fn set_readable(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_away) {
            self.settled_at = Some(now + Self::SETTLE);
        }
    }

    /// Takes in the whole list; returns the services that changed.
    pub fn read_all(&mut self, now: Instant, entries: Vec<TargetEntry>) -> Vec<SmolStr> {
        let mut changed = Vec::new();
        let gone: Vec<SmolStr> = self
            .known
            .iter()
            .map(|known| known.entry.incarnation.id.clone())
            .filter(|id| entries.iter().all(|entry| entry.incarnation.id != *id))
            .collect();
        for id in gone {
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
            self.known[index].has_lapsed = true;
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
        let is_same_start = entry.incarnation == old.incarnation;
        if is_same_start {
            entry.is_draining |= old.is_draining;
            // What is left shrinks with each reading; the first one counts from the start.
            entry.cold_left = old.cold_left;
        }
        known.has_lapsed = false;
        known.is_replaced &= is_same_start && entry.addr == old.addr;
        if entry != *old {
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
