//! Reserved room, background shares and stragglers.

mod common;

use common::{Bench, LONG, SHORT};

#[test]
fn reserve_kept() {
    let mut bench = Bench::new(4, 3);
    bench.warm_up(40, 5);
    for _ in 0..50 {
        bench.arrive(LONG);
    }
    let short = bench.arrive(SHORT);
    assert!(bench.is_sent(short), "short work finds a slot at once");
}

#[test]
fn last_slot() {
    let mut bench = Bench::new(3, 3);
    bench.warm_up(40, 5);
    for _ in 0..50 {
        bench.arrive(LONG);
    }
    for key in bench.service.get_target_keys().collect::<Vec<_>>() {
        assert!(bench.service.get_in_flight(key) < 3);
    }
}

#[test]
fn disjoint_shares() {
    let mut total = 0;
    for rank in 0..5 {
        let mut bench = Bench::new(10, 3);
        bench.set_fleet(5, rank);
        bench.warm_up(40, 5);
        for _ in 0..99 {
            bench.arrive(LONG);
        }
        total += bench.service.count_attempts();
    }
    assert!(
        total <= 20,
        "{total} background attempts on 20 slots outside the reserve"
    );
    assert!(total >= 10, "{total} background attempts leave room unused");
}

#[test]
fn idle_room_lent() {
    let mut bench = Bench::new(2, 3);
    bench.pause(5_000);
    for _ in 0..6 {
        bench.arrive(LONG);
    }
    assert_eq!(
        bench.service.count_attempts(),
        6,
        "without short work its room is lent"
    );
}

#[test]
fn straggler_counted() {
    let mut bench = Bench::new(2, 3);
    bench.warm_up(60, 5);
    let slow = bench.send(SHORT);
    bench.pass(400);
    bench.answer(slow);
    assert_eq!(bench.service.get_counters().stragglers, 1);
}

#[test]
fn straggler_avoided() {
    let mut bench = Bench::new(2, 1);
    bench.warm_up(60, 5);
    let slow = bench.send(SHORT);
    for _ in 0..20 {
        let quick = bench.send(SHORT);
        assert_ne!(
            quick.target, slow.target,
            "the slot of a straggler stays taken"
        );
        bench.pass(1);
        bench.answer(quick);
    }
}
