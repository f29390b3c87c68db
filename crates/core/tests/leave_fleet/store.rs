//! The store of the model, with all its changes and returns.

use super::{BOUND, EXCUSED, RESTORE_MS, TARGETS};
use gentianridge_core::{
    Incarnation, ReadTurn, StoreVersion, TargetEntry, TargetList, TargetListRead,
};
use rand::RngExt;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
pub(crate) struct Change {
    version: u64,
    target: usize,
    /// Start of the incarnation, `None` for a removal.
    born_ms: Option<u64>,
    is_draining: bool,
}

/// The store with all its changes.
pub(crate) struct Store {
    pub(crate) changes: Vec<Change>,
    pub(crate) version: u64,
    pub(crate) era: u64,
    /// Start of the newest incarnation.
    born: u64,
    pub(crate) returned_at: Option<Duration>,
    pub(crate) compacted: u64,
    pub(crate) leaves: Vec<(Incarnation, Duration)>,
    /// State of each target, as it last reported it.
    pub(crate) truth: Vec<(Option<u64>, bool)>,
    /// Times at which targets write again what a copy lacks.
    rewrites: Vec<(Duration, usize)>,
    /// Digest of the list at each version.
    pub(crate) digests: BTreeMap<StoreVersion, u64>,
}

fn make_incarnation(target: usize, born_ms: u64) -> Incarnation {
    Incarnation {
        id: format!("t{target:02}").into(),
        born_ms,
    }
}

fn make_entry(change: &Change, born_ms: u64) -> TargetEntry {
    TargetEntry {
        incarnation: make_incarnation(change.target, born_ms),
        service: "cart".into(),
        addr: ([10, 0, 0, change.target as u8], 80).into(),
        domain: "d1".into(),
        slots: 3,
        is_draining: change.is_draining,
        cold_left: Duration::ZERO,
    }
}

impl Store {
    pub(crate) fn new() -> Self {
        let mut store = Self {
            changes: Vec::new(),
            version: 0,
            era: 1,
            born: 1,
            returned_at: None,
            compacted: 0,
            leaves: Vec::new(),
            truth: vec![(None, false); TARGETS],
            rewrites: Vec::new(),
            digests: BTreeMap::new(),
        };
        for target in 0..TARGETS {
            store.write(target, Some(1), false);
        }
        store
    }

    fn write(&mut self, target: usize, born_ms: Option<u64>, is_draining: bool) {
        self.version += 1;
        self.changes.push(Change {
            version: self.version,
            target,
            born_ms,
            is_draining,
        });
        self.truth[target] = (born_ms, is_draining);
        self.record_digest();
    }

    pub(crate) fn get_version(&self) -> StoreVersion {
        StoreVersion::new(self.era, self.version)
    }

    fn record_digest(&mut self) {
        let mut list = TargetList::new(BOUND);
        let now = Instant::now();
        let read = self.read(None);
        list.apply_read(now, now, read, ReadTurn::first(), &mut Vec::new());
        self.digests.insert(self.get_version(), list.get_digest());
    }

    /// Returns from a copy that lacks the last `lost` changes, which are written again later.
    pub(crate) fn return_from_copy(&mut self, now: Duration, lost: usize, rng: &mut Pcg32) {
        self.changes.truncate(self.changes.len() - lost);
        self.version = self.changes.last().map_or(0, |change| change.version);
        self.compacted = self.compacted.min(self.version);
        self.era += 1;
        self.record_digest();
        for target in 0..TARGETS {
            let listed = self.get_last(target);
            let listed = listed.map_or((None, false), |last| (last.born_ms, last.is_draining));
            if listed == self.truth[target] {
                continue;
            }
            let at = now + Duration::from_millis(rng.random_range(0..RESTORE_MS));
            self.rewrites.push((at, target));
            self.excuse(now, at, Some(target));
        }
        self.returned_at = Some(now);
        self.excuse(now, now + EXCUSED, None);
    }

    /// Excuses leaves that no VM had to know at the store's return, of one target or of all,
    /// until `at`.
    fn excuse(&mut self, now: Duration, at: Duration, target: Option<usize>) {
        let id = target.map(|target| make_incarnation(target, 0).id);
        for (incarnation, left_at) in &mut self.leaves {
            let is_its = id.as_ref().is_none_or(|id| incarnation.id == *id);
            if is_its && now.saturating_sub(*left_at) < BOUND.mul_f64(0.8) {
                *left_at = at.max(*left_at);
            }
        }
    }

    pub(crate) fn rewrite(&mut self, now: Duration) {
        let due: Vec<_> = self.rewrites.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, target) in due {
            let (born_ms, is_draining) = self.truth[target];
            self.write(target, born_ms, is_draining);
        }
    }

    pub(crate) fn get_last(&self, target: usize) -> Option<&Change> {
        self.changes
            .iter()
            .rev()
            .find(|change| change.target == target)
    }

    /// Starts a target that is gone, and drains or removes one that is there.
    pub(crate) fn change(&mut self, now: Duration, target: usize, drains: bool) {
        let (born_ms, is_draining) = self.truth[target];
        let Some(born_ms) = born_ms else {
            self.born += 1;
            self.write(target, Some(self.born), false);
            return;
        };
        if !is_draining {
            let returned_at = self.returned_at.filter(|at| now < *at + EXCUSED);
            let left_at = returned_at.map_or(now, |at| at + EXCUSED);
            self.leaves
                .push((make_incarnation(target, born_ms), left_at));
        }
        if drains && !is_draining {
            self.write(target, Some(born_ms), true);
        } else {
            self.write(target, None, false);
        }
    }

    pub(crate) fn read(&self, after: Option<StoreVersion>) -> TargetListRead {
        let after = after.filter(|after| after.era == self.era);
        let after = after.map(|after| after.number);
        let after = after.filter(|after| *after >= self.compacted);
        let mut read = TargetListRead {
            version: self.get_version(),
            is_full: after.is_none(),
            ..TargetListRead::default()
        };
        for target in 0..TARGETS {
            let Some(change) = self.get_last(target) else {
                continue;
            };
            let is_new = after.is_none_or(|after| change.version > after);
            match change.born_ms.filter(|_| is_new) {
                Some(born_ms) => read.entries.push(make_entry(change, born_ms)),
                None if is_new && after.is_some() => {
                    read.removed.push(make_incarnation(target, 0).id);
                }
                None => {}
            }
        }
        read
    }
}
