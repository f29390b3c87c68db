//! The target list of one VM, from its own reads and from peers' updates.

use super::{
    Directory, Incarnation, RefreshTimer, TargetListRead, TargetListUpdate, UpdateOutcome,
};
use crate::TargetSpec;
use smol_str::SmolStr;
use std::time::{Duration, Instant};

/// Result of applying a read of this VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedRead {
    /// Changes that were not known before the read.
    pub update: TargetListUpdate,
    /// True if peers can apply the update; the first read has no base version.
    pub is_relayable: bool,
}

/// The targets, and when they have to be read again.
///
/// Reads of this VM and updates from peers arrive in any order, and an update
/// can arrive during a read. The list never returns to an older version. An
/// update that this VM sends holds the changes since the base that it states.
#[derive(Debug)]
pub struct TargetList {
    directory: Directory,
    refresh_timer: RefreshTimer,
}

/// Construction and timer.
impl TargetList {
    /// Creates an empty list with a bound on its age.
    pub fn new(bound: Duration) -> Self {
        Self {
            directory: Directory::new(),
            refresh_timer: RefreshTimer::new(bound),
        }
    }

    /// Sets the bound on the age of the list.
    pub fn set_bound(&mut self, bound: Duration) {
        self.refresh_timer.set_bound(bound);
    }

    /// Returns the version of the store that the list reflects.
    pub fn get_version(&self) -> Option<u64> {
        self.refresh_timer.get_version()
    }

    /// Returns when this VM has to read the list, or `None` if a read is due at once.
    pub fn get_due(&self) -> Option<Instant> {
        self.refresh_timer.get_due()
    }

    /// Returns true if changes between the local state and a peer's update are missing.
    pub fn has_gap(&self) -> bool {
        self.refresh_timer.has_gap()
    }
}

/// Reads and updates.
impl TargetList {
    /// Applies a read of this VM, or returns `None` if an update from a peer is
    /// newer. `draw` is uniform in [0, 1).
    pub fn apply_read(
        &mut self,
        now: Instant,
        read: TargetListRead,
        draw: f64,
        changed: &mut Vec<SmolStr>,
    ) -> Option<AppliedRead> {
        if self.refresh_timer.is_overtaken(read.version) {
            return None;
        }
        let directory = &mut self.directory;
        directory.set_readable(now);
        let mut removed = read.removed;
        if read.is_full {
            removed = directory.find_missing(&read.entries);
        }
        removed.retain(|id| directory.is_listed(id));
        let is_change = |entry: &&super::TargetEntry| directory.is_change(entry);
        let update = TargetListUpdate {
            version: read.version,
            settle_left: directory.get_settle_left(now),
            entries: read.entries.iter().filter(is_change).cloned().collect(),
            removed,
            ..TargetListUpdate::default()
        };
        self.apply(now, &update, changed);
        let base = self.refresh_timer.record_read(now, read.version, draw);
        Some(AppliedRead {
            update: TargetListUpdate {
                base: base.unwrap_or_default(),
                ..update
            },
            is_relayable: base.is_some(),
        })
    }

    /// Applies an update from a peer.
    pub fn apply_update(
        &mut self,
        now: Instant,
        update: &TargetListUpdate,
        draw: f64,
        changed: &mut Vec<SmolStr>,
    ) -> UpdateOutcome {
        let read_at = now.checked_sub(update.age).unwrap_or(now);
        let outcome = self
            .refresh_timer
            .check_update(read_at, update.base, update.version, draw);
        if matches!(outcome, UpdateOutcome::Applied | UpdateOutcome::Unchanged) {
            self.directory.set_readable(now);
            self.directory.extend_settle(now, update.settle_left);
        }
        if outcome == UpdateOutcome::Applied {
            self.apply(now, update, changed);
        }
        outcome
    }

    /// Records that the store could not be read.
    pub fn record_failure(&mut self) {
        self.refresh_timer.set_overdue();
        self.directory.set_unreadable();
    }

    /// Removes the targets that did not register again within the settle period.
    pub fn expire(&mut self, now: Instant, changed: &mut Vec<SmolStr>) {
        self.directory.expire(now, changed);
    }

    /// Returns the time at which [`Self::expire`] is to be called next.
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

    /// Records that another process answered at a target's address.
    pub fn set_replaced(&mut self, incarnation: &Incarnation, changed: &mut Vec<SmolStr>) {
        self.directory.set_replaced(incarnation, changed);
    }
}
