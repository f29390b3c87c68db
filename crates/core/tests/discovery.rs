//! Targets that come and go by what they register.

use gentianridge_core::{Directory, Incarnation, TargetEntry};
use std::time::{Duration, Instant};

fn entry(id: &str, born_ms: u64) -> TargetEntry {
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
            harness.put(entry(id, 1));
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

    fn names(&self) -> Vec<String> {
        self.directory
            .get_targets("cart", 10)
            .iter()
            .filter(|target| !target.drain)
            .map(|target| format!("{}/{}", target.name, target.incarnation))
            .collect()
    }
}

#[test]
fn gone_at_once() {
    let mut harness = Harness::new();
    harness.remove("a");
    assert_eq!(harness.names(), ["b/1", "c/1", "d/1"]);
    assert!(harness.changed.contains(&"cart".into()));
}

#[test]
fn lapse_and_return() {
    let mut harness = Harness::new();
    harness.directory.set_away();
    harness.remove("a");
    harness.advance(Duration::from_secs(10));
    harness.directory.set_readable(harness.now);
    for id in ["b", "c", "d"] {
        harness.remove(id);
    }
    assert_eq!(harness.names().len(), 4, "all may have lapsed");
    harness.advance(Duration::from_millis(1_900));
    harness.put(entry("a", 1));
    assert_eq!(harness.names().len(), 4, "most are still missing");
    harness.advance(Duration::from_millis(200));
    assert_eq!(
        harness.names(),
        ["a/1"],
        "the others did not come back in time"
    );
}

#[test]
fn whole_list_while_settling() {
    let mut harness = Harness::new();
    harness.directory.set_away();
    harness.directory.set_readable(harness.now);
    harness.directory.read_all(harness.now, vec![entry("b", 1)]);
    assert_eq!(harness.names().len(), 4);
    assert_eq!(
        harness.directory.next_expiry(),
        Some(harness.now + Directory::SETTLE)
    );
    harness.advance(Directory::SETTLE);
    assert_eq!(harness.names(), ["b/1"]);
}

/// A VM that was cut off alone must not send to what left meanwhile, though it
/// cannot tell whether the store was away for all.
#[test]
fn few_gone_after_a_cut() {
    let mut harness = Harness::new();
    harness.directory.set_away();
    harness.advance(Duration::from_secs(12));
    harness.directory.set_readable(harness.now);
    let listed = ["b", "c", "d"].map(|id| entry(id, 1));
    harness.directory.read_all(harness.now, listed.to_vec());
    assert_eq!(harness.names(), ["b/1", "c/1", "d/1"]);
    harness.put(entry("a", 1));
    assert_eq!(
        harness.names().len(),
        4,
        "it is back in use when it is listed"
    );
}

#[test]
fn settle_of_a_peer() {
    let mut harness = Harness::new();
    harness
        .directory
        .extend_settle(harness.now, Duration::from_secs(1));
    for id in ["b", "c", "d"] {
        harness.remove(id);
    }
    assert_eq!(harness.names().len(), 4);
    harness.advance(Duration::from_secs(1));
    assert_eq!(harness.names(), ["a/1"]);
}

#[test]
fn news() {
    let harness = Harness::new();
    assert!(!harness.directory.is_news(&entry("a", 1)));
    assert!(harness.directory.is_news(&entry("a", 2)));
    assert!(harness.directory.is_news(&entry("e", 1)));
    let mut draining = entry("a", 1);
    draining.is_draining = true;
    assert!(harness.directory.is_news(&draining));
    let mut warmer = entry("a", 1);
    warmer.cold_left = Duration::ZERO;
    assert!(!harness.directory.is_news(&warmer));
}

#[test]
fn draining_sticks() {
    let mut harness = Harness::new();
    let mut draining = entry("a", 1);
    draining.is_draining = true;
    harness.put(draining);
    harness.put(entry("a", 1));
    assert_eq!(
        harness.names(),
        ["b/1", "c/1", "d/1"],
        "a stale reading takes nothing back"
    );
    harness.put(entry("a", 2));
    assert_eq!(
        harness.names(),
        ["a/2", "b/1", "c/1", "d/1"],
        "a new start is another target"
    );
}

#[test]
fn older_start() {
    let mut harness = Harness::new();
    harness.put(entry("a", 5));
    harness.put(entry("a", 1));
    assert_eq!(harness.names(), ["a/5", "b/1", "c/1", "d/1"]);
}

#[test]
fn replaced_at_address() {
    let mut harness = Harness::new();
    let old = entry("a", 1).incarnation;
    harness.directory.set_replaced(&old, &mut harness.changed);
    assert_eq!(harness.names(), ["b/1", "c/1", "d/1"]);
    harness.put(entry("a", 1));
    assert_eq!(
        harness.names(),
        ["b/1", "c/1", "d/1"],
        "the entry still names the lost address"
    );
    harness.put(entry("a", 2));
    assert_eq!(harness.names(), ["a/2", "b/1", "c/1", "d/1"]);
}

#[test]
fn warm_up_counts_once() {
    let mut harness = Harness::new();
    let mut later = entry("a", 1);
    later.cold_left = Duration::from_secs(1);
    harness.changed.clear();
    harness.put(later);
    assert!(harness.changed.is_empty(), "a shrinking rest is no change");
}
