//! Recent updates of the target list, from which peers get what they lack.

use super::{TargetEntry, TargetListUpdate, UpdateContent};
use crate::StoreVersion;
use smol_str::SmolStr;
use std::collections::VecDeque;

/// The last updates that this VM applied, oldest first.
///
/// Merged they lead from any version in their span to the newest one.
#[derive(Debug, Default)]
pub struct UpdateLog {
    updates: VecDeque<TargetListUpdate>,
    changes: usize,
}

impl UpdateLog {
    /// Maximum number of changes in the log. A VM that lacks more gets the complete
    /// list.
    pub const MAX_CHANGES: usize = 1_024;

    /// Adds an update that this VM applied.
    ///
    /// A complete list, or an update that does not continue the log, starts it
    /// anew.
    pub fn push(&mut self, update: &TargetListUpdate) {
        let newest = self.updates.back();
        let newest = newest.map_or_else(StoreVersion::default, |last| last.version);
        let is_continued = update.content == UpdateContent::Changes && update.base <= newest;
        if !is_continued {
            self.clear();
        }
        if update.content != UpdateContent::Changes || update.version <= newest {
            return;
        }
        self.changes += count_changes(update);
        self.updates.push_back(update.clone());
        while self.changes > Self::MAX_CHANGES {
            let Some(oldest) = self.updates.pop_front() else {
                break;
            };
            self.changes -= count_changes(&oldest);
        }
    }

    /// Returns the changes after a version, `None` if the log does not reach back
    /// to it.
    pub fn merge_since(&self, version: StoreVersion) -> Option<TargetListUpdate> {
        let start = self
            .updates
            .iter()
            .position(|update| update.base <= version && version <= update.version)?;
        let mut merged = MergedChanges::default();
        for update in self.updates.range(start..) {
            merged.add(update);
        }
        let newest = self.updates.back()?;
        Some(TargetListUpdate {
            base: version,
            version: newest.version,
            digest: newest.digest,
            ..merged.into_update()
        })
    }

    fn clear(&mut self) {
        self.updates.clear();
        self.changes = 0;
    }
}

/// The last change of each target, sorted by name.
#[derive(Debug, Default)]
struct MergedChanges {
    changes: Vec<(SmolStr, Change)>,
}

#[derive(Debug)]
enum Change {
    Entry(TargetEntry),
    Removed,
    Unreadable,
}

impl MergedChanges {
    fn add(&mut self, update: &TargetListUpdate) {
        for entry in &update.entries {
            self.set(&entry.incarnation.id, Change::Entry(entry.clone()));
        }
        for id in &update.removed {
            self.set(id, Change::Removed);
        }
        for id in &update.unreadable {
            self.set(id, Change::Unreadable);
        }
    }

    fn set(&mut self, id: &SmolStr, change: Change) {
        match self.changes.binary_search_by(|(known, _)| known.cmp(id)) {
            Ok(index) => self.changes[index].1 = change,
            Err(index) => self.changes.insert(index, (id.clone(), change)),
        }
    }

    fn into_update(self) -> TargetListUpdate {
        let mut update = TargetListUpdate::default();
        for (id, change) in self.changes {
            match change {
                Change::Entry(entry) => update.entries.push(entry),
                Change::Removed => update.removed.push(id),
                Change::Unreadable => update.unreadable.push(id),
            }
        }
        update
    }
}

fn count_changes(update: &TargetListUpdate) -> usize {
    update.entries.len() + update.removed.len() + update.unreadable.len()
}
