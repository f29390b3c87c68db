//! The target list as targets register, expire and leave.

use gentianridge_core::{Directory, Incarnation, TargetEntry};
use std::time::{Duration, Instant};

fn make_entry(id: &str, born_ms: u64) -> TargetEntry {
    TargetEntry {
        incarnation: Incarnation {
            id: id.into(),
            born_ms,
        },
        service: "cart".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        domain: "d1".into(),
        slots: 3,
        is_draining: false,
        cold_left: Duration::from_secs(3),
    }
}

struct Harness {
    directory: Directory,
    now: Instant,
    changed: Vec<smol_str::SmolStr>,
}

impl Harness {
    fn new() -> Self {
        let mut harness = Self {
            directory: Directory::new(),
            now: Instant::now(),
            changed: Vec::new(),
        };
        for id in ["a", "b", "c", "d"] {
            harness.put(make_entry(id, 1));
        }
        harness
    }

    fn put(&mut self, entry: TargetEntry) {
        self.directory.put(entry, &mut self.changed);
    }

    fn remove(&mut self, id: &str) {
        self.directory.remove(self.now, id, &mut self.changed);
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.directory.expire(self.now, &mut self.changed);
    }

    fn get_active_names(&self) -> Vec<String> {
        self.directory
            .get_targets("cart", 10)
            .iter()
            .filter(|target| !target.drain)
            .map(|target| format!("{}/{}", target.name, target.incarnation))
            .collect()
    }
}

#[test]
fn removed_at_once() {
    let mut harness = Harness::new();
    harness.remove("a");
    assert_eq!(harness.get_active_names(), ["b/1", "c/1", "d/1"]);
    assert!(harness.changed.contains(&"cart".into()));
}

#[test]
fn outage_keeps_targets() {
    let mut harness = Harness::new();
    harness.directory.set_unreadable();
    harness.remove("a");
    harness.advance(Duration::from_secs(10));
    harness.directory.set_readable(harness.now);
    for id in ["b", "c", "d"] {
        harness.remove(id);
    }
    assert_eq!(
        harness.get_active_names().len(),
        4,
        "all entries may have expired in the outage"
    );
    harness.advance(Duration::from_millis(1_900));
    harness.put(make_entry("a", 1));
    assert_eq!(
        harness.get_active_names().len(),
        4,
        "most entries are still missing"
    );
    harness.advance(Duration::from_millis(200));
    assert_eq!(
        harness.get_active_names(),
        ["a/1"],
        "the other targets did not register again within the settle period"
    );
}

#[test]
fn full_list_settles() {
    let mut harness = Harness::new();
    harness.directory.set_unreadable();
    harness.directory.set_readable(harness.now);
    harness
        .directory
        .apply_full(harness.now, vec![make_entry("b", 1)]);
    assert_eq!(harness.get_active_names().len(), 4);
    assert_eq!(
        harness.directory.next_expiry(),
        Some(harness.now + Directory::SETTLE_PERIOD)
    );
    harness.advance(Directory::SETTLE_PERIOD);
    assert_eq!(harness.get_active_names(), ["b/1"]);
}

/// A VM that alone lost its connection to the store must not send to targets that left
/// in the meantime. It cannot distinguish this from an outage of the store for all VMs.
#[test]
fn few_missing_removed() {
    let mut harness = Harness::new();
    harness.directory.set_unreadable();
    harness.advance(Duration::from_secs(12));
    harness.directory.set_readable(harness.now);
    let listed = ["b", "c", "d"].map(|id| make_entry(id, 1));
    harness.directory.apply_full(harness.now, listed.to_vec());
    assert_eq!(harness.get_active_names(), ["b/1", "c/1", "d/1"]);
    harness.put(make_entry("a", 1));
    assert_eq!(
        harness.get_active_names().len(),
        4,
        "a target is used again when it is listed again"
    );
}

#[test]
fn peer_extends_settle() {
    let mut harness = Harness::new();
    harness
        .directory
        .extend_settle(harness.now, Duration::from_secs(1));
    for id in ["b", "c", "d"] {
        harness.remove(id);
    }
    assert_eq!(harness.get_active_names().len(), 4);
    harness.advance(Duration::from_secs(1));
    assert_eq!(harness.get_active_names(), ["a/1"]);
}

#[test]
fn change_detection() {
    let harness = Harness::new();
    assert!(!harness.directory.is_change(&make_entry("a", 1)));
    assert!(harness.directory.is_change(&make_entry("a", 2)));
    assert!(harness.directory.is_change(&make_entry("e", 1)));
    let mut draining = make_entry("a", 1);
    draining.is_draining = true;
    assert!(harness.directory.is_change(&draining));
    let mut warmer = make_entry("a", 1);
    warmer.cold_left = Duration::ZERO;
    assert!(!harness.directory.is_change(&warmer));
}

#[test]
fn draining_persists() {
    let mut harness = Harness::new();
    let mut draining = make_entry("a", 1);
    draining.is_draining = true;
    harness.put(draining);
    harness.put(make_entry("a", 1));
    assert_eq!(
        harness.get_active_names(),
        ["b/1", "c/1", "d/1"],
        "a stale read does not revert draining"
    );
    harness.put(make_entry("a", 2));
    assert_eq!(
        harness.get_active_names(),
        ["a/2", "b/1", "c/1", "d/1"],
        "a new incarnation is a new target"
    );
}

#[test]
fn older_incarnation_ignored() {
    let mut harness = Harness::new();
    harness.put(make_entry("a", 5));
    harness.put(make_entry("a", 1));
    assert_eq!(harness.get_active_names(), ["a/5", "b/1", "c/1", "d/1"]);
}

#[test]
fn replaced_at_address() {
    let mut harness = Harness::new();
    let old = make_entry("a", 1).incarnation;
    harness.directory.set_replaced(&old, &mut harness.changed);
    assert_eq!(harness.get_active_names(), ["b/1", "c/1", "d/1"]);
    harness.put(make_entry("a", 1));
    assert_eq!(
        harness.get_active_names(),
        ["b/1", "c/1", "d/1"],
        "the entry still has the address that another process took over"
    );
    harness.put(make_entry("a", 2));
    assert_eq!(harness.get_active_names(), ["a/2", "b/1", "c/1", "d/1"]);
}

#[test]
fn warm_up_progress_ignored() {
    let mut harness = Harness::new();
    let mut warming = make_entry("a", 1);
    warming.cold_left = Duration::from_secs(1);
    harness.changed.clear();
    harness.put(warming);
    assert!(
        harness.changed.is_empty(),
        "progress of the warm-up is not a change"
    );
}
