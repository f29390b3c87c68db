//! The list of targets of one VM, by its own readings and by those of peers.

use super::{
    Directory, Incarnation, RefreshTimer, TargetListRead, TargetListUpdate, UpdateOutcome,
};
use crate::TargetSpec;
use smol_str::SmolStr;
use std::time::{Duration, Instant};

/// What came of a reading of this VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedRead {
    /// What the reading says that was not known.
    pub update: TargetListUpdate,
    /// True if peers can use it; the first reading follows on nothing.
    pub is_relayable: bool,
}

/// The targets, and when they have to be read again.
///
/// Readings of this VM and words of peers come in any order, also one during
/// the other. The list never goes back, and what a VM tells follows on what it
/// says it follows on.
#[derive(Debug)]
pub struct TargetList {
    directory: Directory,
    refresh: RefreshTimer,
}

/// Construction and timer.
impl TargetList {
    /// Creates an empty list with a bound on its age.
    pub fn new(bound: Duration) -> Self {
        Self {
            directory: Directory::new(),
            refresh: RefreshTimer::new(bound),
        }
    }

    /// Sets the bound on the age of the list.
    pub fn set_bound(&mut self, bound: Duration) {
        self.refresh.set_bound(bound);
    }

    /// Returns the version of the store up to which the list is known.
    pub fn get_version(&self) -> Option<u64> {
        self.refresh.get_version()
    }

    /// Returns when this VM has to read the list, none if it has to at once.
    pub fn get_due(&self) -> Option<Instant> {
        self.refresh.get_due()
    }

    /// Returns true if changes between what is known and a peer's reading are missing.
    pub fn has_gap(&self) -> bool {
        self.refresh.has_gap()
    }
}

/// Readings.
impl TargetList {
    /// Takes in a reading of this VM; none if a peer's has overtaken it.
    /// `draw` is uniform in [0, 1).
    pub fn apply_read(
        &mut self,
        now: Instant,
        reading: TargetListRead,
        draw: f64,
        changed: &mut Vec<SmolStr>,
    ) -> Option<AppliedRead> {
        if self.refresh.is_overtaken(reading.version) {
            return None;
        }
        let directory = &mut self.directory;
        directory.set_readable(now);
        let mut removed = reading.removed;
        if reading.is_full {
            removed = directory.find_missing(&reading.entries);
        }
        removed.retain(|id| directory.is_listed(id));
        let is_change = |entry: &&super::TargetEntry| directory.is_change(entry);
        let update = TargetListUpdate {
            version: reading.version,
            settle_left: directory.get_settle_left(now),
            entries: reading.entries.iter().filter(is_change).cloned().collect(),
            removed,
            ..TargetListUpdate::default()
        };
        self.apply(now, &update, changed);
        let base = self.refresh.record_read(now, reading.version, draw);
        Some(AppliedRead {
            update: TargetListUpdate {
                base: base.unwrap_or_default(),
                ..update
            },
            is_relayable: base.is_some(),
        })
    }

    /// Takes in a reading that a peer tells.
    pub fn apply_update(
        &mut self,
        now: Instant,
        update: &TargetListUpdate,
        draw: f64,
        changed: &mut Vec<SmolStr>,
    ) -> UpdateOutcome {
        let read_at = now.checked_sub(update.age).unwrap_or(now);
        let judged = self
            .refresh
            .check_update(read_at, update.base, update.version, draw);
        if matches!(judged, UpdateOutcome::Applied | UpdateOutcome::Unchanged) {
            self.directory.set_readable(now);
            self.directory.extend_settle(now, update.settle_left);
        }
        if judged == UpdateOutcome::Applied {
            self.apply(now, update, changed);
        }
        judged
    }

    /// Notes that the store could not be read.
    pub fn record_failure(&mut self) {
        self.refresh.set_overdue();
        self.directory.set_unreadable();
    }

    /// Drops the targets that lapsed and did not return in time.
    pub fn expire(&mut self, now: Instant, changed: &mut Vec<SmolStr>) {
        self.directory.expire(now, changed);
    }

    /// Returns when [`Self::expire`] has something to do.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.directory.next_expiry()
    }

    fn apply(&mut self, now: Instant, update: &TargetListUpdate, changed: &mut Vec<SmolStr>) {
        for entry in &update.entries {
            self.directory.put(entry.clone(), changed);
        }
        for id in &update.removed {
            self.directory.remove(now, id, changed);
        }
    }
}

/// Targets.
impl TargetList {
    /// Returns true if no target is known.
    pub fn is_empty(&self) -> bool {
        self.directory.is_empty()
    }

    /// Returns the targets of a service, draining ones included.
    pub fn get_targets(&self, service: &str, connections: u16) -> Vec<TargetSpec> {
        self.directory.get_targets(service, connections)
    }

    /// Notes that another process answered at a target's address.
    pub fn set_replaced(&mut self, incarnation: &Incarnation, changed: &mut Vec<SmolStr>) {
        self.directory.set_replaced(incarnation, changed);
    }
}
