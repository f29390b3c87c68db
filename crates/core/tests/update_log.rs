//! The log of updates from which peers get what they lack, and complete lists.

use gentianridge_core::{
    Incarnation, ReadTurn, StoreVersion, TargetEntry, TargetList, TargetListRead, TargetListUpdate,
    UpdateContent, UpdateLog, UpdateOutcome,
};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const BOUND: Duration = Duration::from_secs(2);
const TARGETS: usize = 12;

/// Returns a version of the first era.
const fn at(number: u64) -> StoreVersion {
    StoreVersion::new(1, number)
}

fn make_entry(target: usize, born_ms: u64) -> TargetEntry {
    TargetEntry {
        incarnation: Incarnation {
            id: format!("t{target:02}").into(),
            born_ms,
        },
        service: "cart".into(),
        addr: ([10, 0, 0, target as u8], 80).into(),
        domain: "d1".into(),
        slots: 3,
        is_draining: false,
        cold_left: Duration::ZERO,
    }
}

/// A VM that reads the store, with its log.
struct Reader {
    list: TargetList,
    log: UpdateLog,
    now: Instant,
    version: StoreVersion,
}

impl Reader {
    fn new(now: Instant) -> Self {
        let mut reader = Self {
            list: TargetList::new(BOUND),
            log: UpdateLog::default(),
            now,
            version: at(0),
        };
        let entries = (0..TARGETS).map(|target| make_entry(target, 1)).collect();
        reader.read(TargetListRead {
            is_full: true,
            entries,
            ..TargetListRead::default()
        });
        reader
    }

    fn read(&mut self, read: TargetListRead) {
        self.version.number += 1;
        self.now += Duration::from_millis(100);
        let read = TargetListRead {
            version: self.version,
            ..read
        };
        let changed = &mut Vec::new();
        let turn = ReadTurn::first();
        let applied = self
            .list
            .apply_read(self.now, self.now, read, turn, changed);
        let applied = applied.expect("no update from a peer is newer");
        if applied.is_relayable {
            self.log.push(&applied.update);
        }
    }

    fn change(&mut self, target: usize, born_ms: Option<u64>) {
        let mut read = TargetListRead::default();
        match born_ms {
            Some(born_ms) => read.entries.push(make_entry(target, born_ms)),
            None => read.removed.push(make_entry(target, 0).incarnation.id),
        }
        self.read(read);
    }

    /// Returns a list with the state of the reader at this moment.
    fn copy(&self) -> TargetList {
        let mut copy = TargetList::new(BOUND);
        let full = self.list.make_full_update(self.now).unwrap();
        let outcome = copy.apply_update(self.now, &full, ReadTurn::first(), &mut Vec::new());
        assert_eq!(outcome, UpdateOutcome::Applied);
        copy
    }
}

proptest! {
    /// Whatever changes, the merged changes since any version lead to the list of the reader,
    /// and so does the complete list.
    #[test]
    fn merged_changes(
        changes in prop::collection::vec((0..TARGETS, prop::option::of(1u64..50)), 1..60),
        copy_at in 0usize..60,
    ) {
        let mut reader = Reader::new(Instant::now());
        let mut copy = None;
        for (index, (target, born_ms)) in changes.into_iter().enumerate() {
            if index == copy_at {
                copy = Some(reader.copy());
            }
            reader.change(target, born_ms);
        }
        let Some(mut copy) = copy else {
            return Ok(());
        };
        let since = copy.get_version().unwrap();
        let merged = reader.log.merge_since(since).expect("the log reaches back");
        let outcome = copy.apply_update(reader.now, &merged, ReadTurn::first(), &mut Vec::new());
        prop_assert_eq!(outcome, UpdateOutcome::Applied);
        prop_assert_eq!(copy.get_digest(), reader.list.get_digest());
        let full = reader.copy();
        prop_assert_eq!(full.get_digest(), reader.list.get_digest());
    }
}

/// The log does not reach back to versions whose changes it dropped.
#[test]
fn bounded_log() {
    let mut reader = Reader::new(Instant::now());
    for born_ms in 0..UpdateLog::MAX_CHANGES as u64 + 100 {
        reader.change(3, Some(born_ms + 2));
    }
    assert_eq!(reader.log.merge_since(at(1)), None);
    assert!(
        reader
            .log
            .merge_since(at(reader.version.number - 10))
            .is_some()
    );
    assert_eq!(reader.log.merge_since(at(reader.version.number + 1)), None);
}

/// Updates that do not follow each other start the log anew.
#[test]
fn interrupted_log() {
    let mut log = UpdateLog::default();
    let update = |base, version| TargetListUpdate {
        base: at(base),
        version: at(version),
        ..TargetListUpdate::default()
    };
    log.push(&update(1, 3));
    log.push(&update(3, 5));
    assert!(log.merge_since(at(2)).is_some());
    log.push(&update(7, 9));
    assert_eq!(log.merge_since(at(4)), None);
    assert!(log.merge_since(at(7)).is_some());
    let full = TargetListUpdate {
        content: UpdateContent::Full,
        ..update(0, 12)
    };
    log.push(&full);
    assert_eq!(log.merge_since(at(8)), None);
}

/// A complete list is refused if it is older or does not add up to its digest.
#[test]
fn refused_full_list() {
    let mut reader = Reader::new(Instant::now());
    let old = reader.list.make_full_update(reader.now).unwrap();
    reader.change(1, None);
    let changed = &mut Vec::new();
    let turn = ReadTurn::first();
    let outcome = reader.list.apply_update(reader.now, &old, turn, changed);
    assert_eq!(outcome, UpdateOutcome::Stale);
    let mut corrupt = reader.list.make_full_update(reader.now).unwrap();
    corrupt.version.number += 1;
    corrupt.entries.pop();
    let outcome = reader
        .list
        .apply_update(reader.now, &corrupt, turn, changed);
    assert_eq!(outcome, UpdateOutcome::Corrupt);
    assert_eq!(reader.list.get_targets("cart", 1).len(), TARGETS - 1);
}

/// The turns of the first VMs are apart, and all end before a list is too old to send by.
#[test]
fn turns_in_time() {
    let fractions: Vec<f64> = (0..300)
        .map(|rank| ReadTurn { rank, draw: 0.999 }.get_fraction())
        .collect();
    assert!((fractions[0] - ReadTurn::CYCLE).abs() < f64::EPSILON);
    assert!(fractions[1] > 2.0 * ReadTurn::CYCLE);
    assert!(fractions[1] < fractions[2] && fractions[2] < fractions[3]);
    assert!(fractions.iter().all(|fraction| *fraction <= 0.7));
}
