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

struct Bench {
    directory: Directory,
    now: Instant,
    changed: Vec<smol_str::SmolStr>,
}

impl Bench {
    fn new() -> Self {
        let mut bench = Self {
            directory: Directory::new(),
            now: Instant::now(),
            changed: Vec::new(),
        };
        for id in ["a", "b", "c", "d"] {
            bench.put(entry(id, 1));
        }
        bench
    }

    fn put(&mut self, entry: TargetEntry) {
        self.directory.put(entry, &mut self.changed);
    }

    fn remove(&mut self, id: &str) {
        self.directory.remove(self.now, id, &mut self.changed);
    }

    fn pass(&mut self, time: Duration) {
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
    let mut bench = Bench::new();
    bench.remove("a");
    assert_eq!(bench.names(), ["b/1", "c/1", "d/1"]);
    assert!(bench.changed.contains(&"cart".into()));
}

#[test]
fn lapse_and_return() {
    let mut bench = Bench::new();
    bench.directory.set_unreadable();
    bench.remove("a");
    bench.pass(Duration::from_secs(10));
    bench.directory.set_readable(bench.now);
    for id in ["b", "c", "d"] {
        bench.remove(id);
    }
    assert_eq!(bench.names().len(), 4, "all may have lapsed");
    bench.pass(Duration::from_millis(1_900));
    bench.put(entry("a", 1));
    assert_eq!(bench.names().len(), 4, "most are still missing");
    bench.pass(Duration::from_millis(200));
    assert_eq!(
        bench.names(),
        ["a/1"],
        "the others did not come back in time"
    );
}

#[test]
fn whole_list_while_settling() {
    let mut bench = Bench::new();
    bench.directory.set_unreadable();
    bench.directory.set_readable(bench.now);
    bench.directory.apply_full(bench.now, vec![entry("b", 1)]);
    assert_eq!(bench.names().len(), 4);
    assert_eq!(
        bench.directory.next_expiry(),
        Some(bench.now + Directory::SETTLE_PERIOD)
    );
    bench.pass(Directory::SETTLE_PERIOD);
    assert_eq!(bench.names(), ["b/1"]);
}

/// A VM that was cut off alone must not send to what left meanwhile, though it
/// cannot tell whether the store was away for all.
#[test]
fn few_gone_after_a_cut() {
    let mut bench = Bench::new();
    bench.directory.set_unreadable();
    bench.pass(Duration::from_secs(12));
    bench.directory.set_readable(bench.now);
    let listed = ["b", "c", "d"].map(|id| entry(id, 1));
    bench.directory.apply_full(bench.now, listed.to_vec());
    assert_eq!(bench.names(), ["b/1", "c/1", "d/1"]);
    bench.put(entry("a", 1));
    assert_eq!(
        bench.names().len(),
        4,
        "it is back in use when it is listed"
    );
}

#[test]
fn settle_of_a_peer() {
    let mut bench = Bench::new();
    bench
        .directory
        .extend_settle(bench.now, Duration::from_secs(1));
    for id in ["b", "c", "d"] {
        bench.remove(id);
    }
    assert_eq!(bench.names().len(), 4);
    bench.pass(Duration::from_secs(1));
    assert_eq!(bench.names(), ["a/1"]);
}

#[test]
fn news() {
    let bench = Bench::new();
    assert!(!bench.directory.is_change(&entry("a", 1)));
    assert!(bench.directory.is_change(&entry("a", 2)));
    assert!(bench.directory.is_change(&entry("e", 1)));
    let mut draining = entry("a", 1);
    draining.is_draining = true;
    assert!(bench.directory.is_change(&draining));
    let mut warmer = entry("a", 1);
    warmer.cold_left = Duration::ZERO;
    assert!(!bench.directory.is_change(&warmer));
}

#[test]
fn draining_sticks() {
    let mut bench = Bench::new();
    let mut draining = entry("a", 1);
    draining.is_draining = true;
    bench.put(draining);
    bench.put(entry("a", 1));
    assert_eq!(
        bench.names(),
        ["b/1", "c/1", "d/1"],
        "a stale reading takes nothing back"
    );
    bench.put(entry("a", 2));
    assert_eq!(
        bench.names(),
        ["a/2", "b/1", "c/1", "d/1"],
        "a new start is another target"
    );
}

#[test]
fn older_start() {
    let mut bench = Bench::new();
    bench.put(entry("a", 5));
    bench.put(entry("a", 1));
    assert_eq!(bench.names(), ["a/5", "b/1", "c/1", "d/1"]);
}

#[test]
fn replaced_at_address() {
    let mut bench = Bench::new();
    let old = entry("a", 1).incarnation;
    bench.directory.set_replaced(&old, &mut bench.changed);
    assert_eq!(bench.names(), ["b/1", "c/1", "d/1"]);
    bench.put(entry("a", 1));
    assert_eq!(
        bench.names(),
        ["b/1", "c/1", "d/1"],
        "the entry still names the lost address"
    );
    bench.put(entry("a", 2));
    assert_eq!(bench.names(), ["a/2", "b/1", "c/1", "d/1"]);
}

#[test]
fn warm_up_counts_once() {
    let mut bench = Bench::new();
    let mut later = entry("a", 1);
    later.cold_left = Duration::from_secs(1);
    bench.changed.clear();
    bench.put(later);
    assert!(bench.changed.is_empty(), "a shrinking rest is no change");
}
