//! Reserved capacity, background shares and stragglers.

mod common;

use common::{Harness, LONG, SHORT};

#[test]
fn reserve_kept() {
    let mut harness = Harness::new(4, 3);
    harness.warm_up(40, 5);
    for _ in 0..50 {
        harness.arrive(LONG);
    }
    let short = harness.arrive(SHORT);
    assert!(
        harness.is_sent(short),
        "an interactive call gets a slot at once"
    );
}

#[test]
fn last_slot_free() {
    let mut harness = Harness::new(3, 3);
    harness.warm_up(40, 5);
    for _ in 0..50 {
        harness.arrive(LONG);
    }
    for key in harness.service.get_target_keys().collect::<Vec<_>>() {
        assert!(harness.service.get_in_flight(key) < 3);
    }
}

#[test]
fn disjoint_shares() {
    let mut total = 0;
    for rank in 0..5 {
        let mut harness = Harness::new(10, 3);
        harness.set_fleet(5, rank);
        harness.warm_up(40, 5);
        for _ in 0..99 {
            harness.arrive(LONG);
        }
        total += harness.service.count_attempts();
    }
    assert!(
        total <= 20,
        "{total} background attempts on 20 slots outside the reserve"
    );
    assert!(
        total >= 10,
        "{total} background attempts leave capacity unused"
    );
}

#[test]
fn idle_reserve_used() {
    let mut harness = Harness::new(2, 3);
    harness.pause(5_000);
    for _ in 0..6 {
        harness.arrive(LONG);
    }
    assert_eq!(
        harness.service.count_attempts(),
        6,
        "background calls use the reserve while no interactive calls arrive"
    );
}

#[test]
fn straggler_counted() {
    let mut harness = Harness::new(2, 3);
    harness.warm_up(60, 5);
    let slow = harness.send(SHORT);
    harness.advance(400);
    harness.answer(slow);
    assert_eq!(harness.service.get_counters().stragglers, 1);
}

#[test]
fn straggler_avoided() {
    let mut harness = Harness::new(2, 1);
    harness.warm_up(60, 5);
    let slow = harness.send(SHORT);
    for _ in 0..20 {
        let quick = harness.send(SHORT);
        assert_ne!(
            quick.target, slow.target,
            "the slot of a straggler stays in use"
        );
        harness.advance(1);
        harness.answer(quick);
    }
}
