//! Failure domains that operators have emptied.

mod common;

use common::{Harness, ONCE, SHORT, make_spec};
use gentianridge_core::{
    DomainName, EmptiedDomains, Evacuations, Incarnation, Outcome, ReadTurn, ResultCode, SendCheck,
    StoreVersion, TargetEntry, TargetList, TargetListRead,
};
use std::time::{Duration, Instant};

/// Time until everything has been written again after a return, and until all VMs know it.
const RESTORE: Duration = Duration::from_secs(2);
const SPREAD: Duration = Duration::from_secs(2);

fn make_set(version: u64, domains: &[&str]) -> Evacuations {
    make_set_of(1, version, domains)
}

fn make_set_of(era: u64, version: u64, domains: &[&str]) -> Evacuations {
    let names = domains.iter().map(|name| (*name).into());
    Evacuations::new(StoreVersion::new(era, version), names.collect())
}

/// Applies a set without a return of the store.
fn apply(known: &mut EmptiedDomains, now: Instant, set: Evacuations) -> Option<Vec<DomainName>> {
    known.apply(now, set, None)
}

fn make_entry(name: &str, domain: &str) -> TargetEntry {
    TargetEntry {
        incarnation: Incarnation {
            id: name.into(),
            born_ms: 1,
        },
        service: "cart".into(),
        addr: "127.0.0.1:9001".parse().unwrap(),
        domain: domain.into(),
        slots: 6,
        is_draining: false,
        cold_left: Duration::ZERO,
    }
}

fn make_list(now: Instant) -> TargetList {
    let mut list = TargetList::new(Duration::from_secs(2));
    let read = TargetListRead {
        version: StoreVersion::new(1, 5),
        is_full: true,
        entries: vec![make_entry("t0", "d0"), make_entry("t1", "d1")],
        ..TargetListRead::default()
    };
    list.apply_read(now, now, read, ReadTurn::first(), &mut Vec::new());
    list
}

#[test]
fn forward_only() {
    let now = Instant::now();
    let mut known = EmptiedDomains::default();
    assert_eq!(
        apply(&mut known, now, make_set(7, &["d1"])),
        Some(vec!["d1".into()])
    );
    assert_eq!(apply(&mut known, now, make_set(6, &[])), None);
    assert_eq!(apply(&mut known, now, make_set(7, &["d2"])), None);
    assert_eq!(known.get_listed(), &make_set(7, &["d1"]));
    assert_eq!(
        apply(&mut known, now, make_set(9, &[])),
        Some(vec!["d1".into()])
    );
    assert!(known.get().is_empty());
}

#[test]
fn start_kept() {
    let start = Instant::now();
    let mut known = EmptiedDomains::default();
    apply(&mut known, start, make_set(7, &["d1"]));
    let later = start + Duration::from_secs(3);
    apply(&mut known, later, make_set(9, &["d0", "d1"]));
    let since: Vec<Duration> = known.get_since().map(|(_, at)| at - start).collect();
    assert_eq!(since, [Duration::from_secs(3), Duration::ZERO]);
}

/// A fleet in which no domain was ever emptied sends nothing about it. A VM that reads the
/// store after a domain was given back learns from a peer that there is something to send.
#[test]
fn message_once_used() {
    let now = Instant::now();
    let mut known = EmptiedDomains::default();
    apply(&mut known, now, make_set(7, &[]));
    assert_eq!(known.get_message(), None);
    assert_eq!(apply(&mut known, now, make_set(4, &["d1"])), None);
    assert_eq!(known.get_message(), Some(make_set(7, &[])));
}

/// Guards against the order by number alone: an evacuation after the store's return was
/// dropped, as the version of an earlier one was higher.
#[test]
fn era_before_number() {
    let now = Instant::now();
    let mut known = EmptiedDomains::default();
    apply(&mut known, now, make_set_of(1, 600, &[]));
    apply(&mut known, now, make_set_of(2, 400, &["d1"]));
    assert!(known.contains("d1"));
    assert_eq!(apply(&mut known, now, make_set_of(1, 700, &[])), None);
    assert_eq!(apply(&mut known, now, make_set_of(0, 900, &[])), None);
    assert!(known.contains("d1"));
}

/// The copy lacks an evacuation: the domain stays empty until it is written again, or until
/// the time for that has passed.
#[test]
fn lost_in_copy() {
    for is_written in [true, false] {
        let now = Instant::now();
        let mut known = EmptiedDomains::default();
        apply(&mut known, now, make_set_of(1, 600, &["d1"]));
        let changed = known.apply(now, make_set_of(2, 400, &["d2"]), Some(now + RESTORE));
        assert_eq!(changed, Some(Vec::new()));
        assert_eq!(known.get(), ["d1"]);
        assert_eq!(known.get_message().unwrap().held, ["d1"]);
        if is_written {
            known.apply(now, make_set_of(2, 401, &["d1", "d2"]), Some(now + RESTORE));
            assert!(known.get_held().is_empty());
        }
        let end = now + RESTORE + SPREAD;
        known.expire(end - Duration::from_millis(1));
        assert!(known.contains("d1"));
        known.expire(end);
        assert_eq!(known.contains("d1"), is_written);
        assert!(known.contains("d2"));
        assert_eq!(known.next_expiry(), None);
    }
}

/// The copy holds a domain that was given back: it stays in use until the order is written
/// again, and is emptied by an order of the new era at once.
#[test]
fn given_back_before() {
    let now = Instant::now();
    let mut known = EmptiedDomains::default();
    apply(&mut known, now, make_set_of(1, 600, &["d1"]));
    apply(&mut known, now, make_set_of(1, 610, &[]));
    known.apply(now, make_set_of(2, 400, &["d1"]), Some(now + RESTORE));
    assert!(!known.contains("d1"));
    known.apply(now, make_set_of(2, 401, &[]), Some(now + RESTORE));
    known.apply(now, make_set_of(2, 402, &["d1"]), Some(now + RESTORE));
    assert!(known.contains("d1"));
    known.expire(now + RESTORE);
    assert!(known.contains("d1"));
}

/// A VM that starts after the return learns from a peer what was emptied before it, whether
/// or not it has read the store.
#[test]
fn start_after_return() {
    let now = Instant::now();
    let mut known = EmptiedDomains::default();
    apply(&mut known, now, make_set_of(1, 600, &["d1"]));
    known.apply(now, make_set_of(2, 400, &[]), Some(now + RESTORE));
    let message = known.get_message().unwrap();
    for has_read in [false, true] {
        let mut starting = EmptiedDomains::default();
        if has_read {
            starting.apply(now, make_set_of(2, 400, &[]), Some(now + RESTORE));
        }
        starting.apply(now, message.clone(), Some(now + RESTORE / 2));
        assert_eq!(starting.get(), ["d1"]);
        starting.expire(now + RESTORE / 2 + SPREAD);
        assert!(starting.get().is_empty());
    }
}

#[test]
fn changes_in_order() {
    let set = make_set(3, &["d1"]);
    let changes = [
        ("d2".into(), true),
        ("d1".into(), false),
        ("d2".into(), false),
        ("d1".into(), true),
        ("d0".into(), true),
    ];
    assert_eq!(
        set.after(StoreVersion::new(1, 8), &changes),
        make_set(8, &["d0", "d1"])
    );
}

#[test]
fn send_checked() {
    let now = Instant::now();
    let mut list = make_list(now);
    let emptied = make_entry("t1", "d1").incarnation;
    let mut changed = Vec::new();
    assert!(list.apply_evacuations(now, make_set(6, &["d1"]), None, &mut changed));
    assert_eq!(changed, ["cart"]);
    assert_eq!(list.check_send(now, &emptied), SendCheck::Emptied);
    let other = make_entry("t0", "d0").incarnation;
    assert_eq!(list.check_send(now, &other), SendCheck::Allowed);
    let targets = list.get_targets("cart", 10);
    let states: Vec<bool> = targets.iter().map(|target| target.is_emptied).collect();
    assert_eq!(states, [false, true]);
    assert!(list.apply_evacuations(now, make_set(8, &[]), None, &mut changed));
    assert_eq!(list.check_send(now, &emptied), SendCheck::Allowed);
}

/// Work on an emptied target runs to its end, and new calls go to others.
#[test]
fn nothing_cut() {
    let mut spec = make_spec(2, 2);
    let mut harness = Harness::with_spec(spec.clone());
    let first = harness.send(ONCE);
    spec.targets[first.target.get_index()].is_emptied = true;
    harness.apply(spec);
    for _ in 0..2 {
        let next = harness.send(ONCE);
        assert_ne!(next.target, first.target);
    }
    harness.answer(first);
    assert_eq!(harness.delivered, [first.call]);
    assert!(harness.cancelled.is_empty());
}

/// Waiting calls are refused at once when the last targets are emptied, new ones too, and
/// the service takes calls again once the domain is given back.
#[test]
fn last_targets() {
    let mut spec = make_spec(1, 1);
    let mut harness = Harness::with_spec(spec.clone());
    let running = harness.send(SHORT);
    let waiting = harness.arrive(SHORT);
    spec.targets[0].is_emptied = true;
    harness.apply(spec.clone());
    assert_eq!(harness.get_code(waiting), Some(ResultCode::DomainsEmptied));
    let new = harness.arrive(SHORT);
    assert_eq!(harness.get_code(new), Some(ResultCode::DomainsEmptied));
    harness.answer(running);
    spec.targets[0].is_emptied = false;
    harness.apply(spec);
    harness.send(SHORT);
}

/// An attempt that is withdrawn because the last domain was emptied has sent nothing.
#[test]
fn withdrawn_unrun() {
    let mut spec = make_spec(1, 1);
    let mut harness = Harness::with_spec(spec.clone());
    let sent = harness.send(ONCE);
    spec.targets[0].is_emptied = true;
    harness.apply(spec);
    harness.fail(sent, Outcome::Withdrawn);
    assert_eq!(
        harness.get_code(sent.call),
        Some(ResultCode::DomainsEmptied)
    );
}
