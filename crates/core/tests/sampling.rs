//! Questions to targets before a request is placed.

mod common;

use common::{Bench, FRESH_MS, SHORT, WAIT_MS, make_sampled_spec};
use gentianridge_core::{AttemptKind, CallKey, TargetKey};

/// Arrives and returns the targets that were asked.
fn arrive(bench: &mut Bench) -> (CallKey, Vec<TargetKey>) {
    let before = bench.asked.len();
    let call = bench.arrive_within(SHORT, 4_000);
    (call, bench.asked[before..].to_vec())
}

#[test]
fn fast_target() {
    let mut bench = Bench::with(make_sampled_spec(6));
    let (call, asked) = arrive(&mut bench);
    assert_eq!(asked.len(), 3);
    assert!(!bench.is_sent(call), "the reports have to come first");
    bench.pause(5);
    bench.tell_pace(asked[0], 500);
    assert!(
        !bench.is_sent(call),
        "a slow target is no reason to stop asking"
    );
    bench.tell_pace(asked[2], 100);
    assert_eq!(bench.last_of(call).target, asked[2]);
}

#[test]
fn fresh_report() {
    let mut bench = Bench::with(make_sampled_spec(6));
    let (first, asked) = arrive(&mut bench);
    bench.tell_pace(asked[1], 100);
    assert!(bench.is_sent(first));
    bench.pause(10);
    let (second, more) = arrive(&mut bench);
    assert!(more.is_empty(), "a report of 10 ms ago is good enough");
    assert_eq!(bench.last_of(second).target, asked[1]);
    bench.pause(FRESH_MS);
    let (_, again) = arrive(&mut bench);
    assert!(!again.is_empty(), "the pace may have changed since");
}

#[test]
fn slow_everywhere() {
    let mut bench = Bench::with(make_sampled_spec(3));
    let (call, asked) = arrive(&mut bench);
    for target in asked {
        bench.tell_pace(target, 500);
    }
    assert!(
        !bench.is_sent(call),
        "the pace may change within the objective"
    );
    let mut waited = 0;
    while !bench.is_sent(call) {
        bench.pass(10);
        waited += 10;
        assert!(waited <= 400, "the work itself needs its time");
    }
}

/// In a crest a slot on a slow machine is left for those behind, and the last
/// of a queue is not placed late in front of them.
#[test]
fn crest() {
    let mut bench = Bench::with(make_sampled_spec(3));
    let mut calls = Vec::new();
    for _ in 0..5 {
        calls.push(arrive(&mut bench).0);
        for index in 0..3 {
            bench.tell_pace(TargetKey::from_index(index), 500);
        }
    }
    bench.pass(150);
    assert!(calls.iter().all(|call| !bench.is_sent(*call)));
    bench.tell_pace(TargetKey::from_index(1), 100);
    let sent = calls.iter().filter(|call| bench.is_sent(**call)).count();
    assert_eq!(sent, 3, "the slots of the fast machine are all used");
    assert!(bench.sent.iter().all(|sent| sent.target.get_index() == 1));
}

/// A target that told a good pace just now goes before a nearer and emptier
/// one about which only an old report is known.
#[test]
fn good_before_unknown() {
    let mut spec = make_sampled_spec(2);
    spec.targets[0].domain = "far".into();
    spec.targets[1].domain = "near".into();
    let mut bench = Bench::with(spec);
    bench.service.set_location(&"vm".into(), "near".into());
    let (first, _) = arrive(&mut bench);
    bench.tell_pace(TargetKey::from_index(1), 100);
    assert_eq!(bench.last_of(first).target.get_index(), 1);
    bench.pause(FRESH_MS + 1);
    bench.tell_pace(TargetKey::from_index(0), 100);
    let far = [(); 3].map(|()| bench.arrive_within(SHORT, 4_000));
    let targets = far.map(|call| bench.last_of(call).target.get_index());
    assert_eq!(targets, [0, 0, 0]);
}

/// A second attempt starts while it can still meet the objective, on a target
/// that tells a good pace then.
#[test]
fn hedge_in_time() {
    let mut spec = make_sampled_spec(3);
    spec.hedge_percent = 100;
    let mut bench = Bench::with(spec);
    for _ in 0..30 {
        let (call, _) = arrive(&mut bench);
        bench.tell_pace(TargetKey::from_index(0), 100);
        let sent = bench.last_of(call);
        bench.pass(190);
        bench.answer(sent);
    }
    let (call, _) = arrive(&mut bench);
    bench.tell_pace(TargetKey::from_index(0), 100);
    let first = bench.last_of(call);
    let asked = bench.asked.len();
    let mut passed = 0;
    while bench.last_of(call).attempt == first.attempt {
        bench.pass(10);
        passed += 10;
        if bench.asked.len() > asked {
            bench.tell_pace(TargetKey::from_index(1), 500);
            bench.tell_pace(TargetKey::from_index(2), 100);
        }
        assert!(passed < 600 - 190, "too late for the objective");
    }
    let hedge = bench.last_of(call);
    assert_eq!(hedge.kind, AttemptKind::Hedge);
    assert_eq!(hedge.target.get_index(), 2);
    assert!(passed > 190, "most answers are there after {passed} ms");
}

/// The timer is never set to a time that has passed.
#[test]
fn wake_up_times() {
    let mut bench = Bench::with(make_sampled_spec(3));
    let (call, _) = arrive(&mut bench);
    while !bench.is_sent(call) {
        let wake = bench.service.next_wake(bench.now).expect("a call waits");
        assert!(wake > bench.now, "a timer in the past would spin");
        bench.now = wake;
        bench.pass(0);
    }
}

#[test]
fn silent_targets() {
    let mut bench = Bench::with(make_sampled_spec(3));
    let (call, _) = arrive(&mut bench);
    bench.pass(WAIT_MS - 1);
    assert!(!bench.is_sent(call));
    for _ in 0..10 {
        bench.pass(WAIT_MS);
    }
    assert!(
        bench.is_sent(call),
        "a question without an answer is not waited for"
    );
}

#[test]
fn budget_in_a_rush() {
    let mut spec = make_sampled_spec(6);
    spec.probes_per_second = 40;
    let mut bench = Bench::with(spec);
    bench.set_fleet(2, 0);
    for _ in 0..4_000 {
        arrive(&mut bench);
        bench.pass(1);
    }
    // Half of 40 a second for this VM over 4 s, and one second's worth saved up.
    assert!(bench.asked.len() <= 100, "{} questions", bench.asked.len());
}

#[test]
fn declared_services_ask_nobody() {
    let mut bench = Bench::new(3, 2);
    bench.send(SHORT);
    assert!(bench.asked.is_empty());
}
