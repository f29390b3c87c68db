//! Spans that targets, peers or the configuration state and that no clock can represent.

mod common;

use common::{Harness, ONCE, make_spec};
use gentianridge_core::{
    ColdFleet, ColdPlan, ColdRate, Incarnation, MAX_SPAN, ReadTurn, RequestBound, SendCheck,
    StoreVersion, TargetEntry, TargetKey, TargetList, TargetListRead, UpdateOutcome, add_span,
};
use proptest::prelude::*;
use std::time::{Duration, Instant};

/// Longest whole number of seconds that a `Duration` can hold, which no `Instant` can.
const ABSURD: Duration = Duration::from_secs(9_999_999_999_999_999_999);

fn make_entry(id: &str, cold_left: Duration) -> TargetEntry {
    TargetEntry {
        incarnation: Incarnation {
            id: id.into(),
            born_ms: 1,
        },
        service: "cart".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        domain: "d1".into(),
        slots: 3,
        is_draining: false,
        cold_left,
    }
}

/// A list that is read for cold targets too.
fn make_list() -> TargetList {
    let mut list = TargetList::new(Duration::from_secs(2));
    list.set_cold_rates(true);
    list
}

fn read_full(list: &mut TargetList, now: Instant, version: u64, entries: Vec<TargetEntry>) {
    let read = TargetListRead {
        version: StoreVersion::new(1, version),
        is_full: true,
        entries,
        ..TargetListRead::default()
    };
    let applied = list.apply_read(now, now, read, ReadTurn::first(), &mut Vec::new());
    assert!(applied.is_some());
}

/// Guards against a panic while a read is applied: an entry whose warm-up ends beyond the
/// clock made each read of the list fail, so that a target's leave was never seen.
#[test]
fn warm_up_of_entry() {
    let mut list = make_list();
    let mut now = Instant::now();
    let odd = make_entry("odd", ABSURD);
    let mut sound = make_entry("sound", Duration::ZERO);
    read_full(&mut list, now, 1, vec![odd.clone(), sound.clone()]);
    now += Duration::from_secs(1);
    sound.is_draining = true;
    read_full(&mut list, now, 2, vec![odd, sound.clone()]);
    let check = list.check_send(now, &sound.incarnation);
    assert_eq!(check, SendCheck::Withdrawn);
}

/// Guards against a panic by a settle period that a peer states.
#[test]
fn settle_of_peer() {
    let (mut list, mut peer) = (make_list(), make_list());
    let now = Instant::now();
    read_full(&mut peer, now, 1, vec![make_entry("t0", Duration::ZERO)]);
    let mut update = peer.make_full_update(now).unwrap();
    update.settle_left = Duration::MAX;
    update.age = Duration::MAX;
    update.entries[0].cold_left = ABSURD;
    let outcome = list.apply_update(now, &update, ReadTurn::first(), &mut Vec::new());
    assert_eq!(outcome, UpdateOutcome::Applied);
    assert!(list.get_settle_left(now) <= MAX_SPAN);
}

fn make_cold_harness(rate: ColdRate) -> Harness {
    let bound = RequestBound {
        excess_percent: 50,
        slack: 8,
    };
    let mut harness = Harness::with_spec(make_spec(2, 6));
    let fleet = ColdFleet::new(&"vm-me".into(), [], Some(harness.now));
    harness
        .service
        .set_cold_plan(harness.now, Some(ColdPlan::new(rate, bound)));
    harness.service.set_cold_fleet(harness.now, fleet);
    harness
}

/// Guards against a panic by the warm-up in a health answer; the other target is used.
#[test]
fn warm_up_of_answer() {
    let mut harness = make_cold_harness(ColdRate {
        warm_up: Duration::MAX,
        per_second: 5.0,
    });
    let cold = TargetKey::from_index(0);
    let mut out = Vec::new();
    let now = harness.now;
    assert!(
        harness
            .service
            .record_cold_answer(now, cold, ABSURD, &mut out)
    );
    for _ in 0..3 {
        let call = harness.arrive_within(ONCE, 900);
        let sent = harness.get_last_attempt(call);
        assert_ne!(sent.target, cold);
        harness.answer(sent);
        harness.advance(100);
    }
}

proptest! {
    /// No sum with a clock panics, and a longer span never ends earlier.
    #[test]
    fn any_span(first in any::<Duration>(), second in any::<Duration>()) {
        let now = Instant::now();
        let (first_end, second_end) = (add_span(now, first), add_span(now, second));
        prop_assert!(first_end >= now);
        prop_assert!((first <= second) == (first_end <= second_end) || first.min(second) >= MAX_SPAN);
    }

    /// Every rate for cold targets gives a plan that can be used.
    #[test]
    fn any_cold_rate(exponent in -320i32..308, warm_up in any::<Duration>()) {
        let per_second = 10f64.powi(exponent);
        prop_assume!(per_second > 0.0);
        let mut harness = make_cold_harness(ColdRate { warm_up, per_second });
        let mut out = Vec::new();
        let (now, cold) = (harness.now, TargetKey::from_index(0));
        harness.service.record_cold_answer(now, cold, Duration::from_secs(5), &mut out);
        harness.advance(1_000);
        let call = harness.arrive_within(ONCE, 900);
        harness.cancel(call);
    }
}
