//! Questions to targets before a request is placed.

mod common;

use common::{Harness, SAMPLE_FRESH_MS, SAMPLE_WAIT_MS, SHORT, make_sampled_spec};
use gentianridge_core::{AttemptKind, CallKey, TargetKey};

/// Arrives and returns the targets that were asked.
fn arrive(harness: &mut Harness) -> (CallKey, Vec<TargetKey>) {
    let before = harness.sampled.len();
    let call = harness.arrive_within(SHORT, 4_000);
    (call, harness.sampled[before..].to_vec())
}

#[test]
fn fast_target() {
    let mut harness = Harness::with_spec(make_sampled_spec(6));
    let (call, sampled) = arrive(&mut harness);
    assert_eq!(sampled.len(), 3);
    assert!(!harness.is_sent(call), "the reports have to come first");
    harness.pause(5);
    harness.report_work_percent(sampled[0], 500);
    assert!(
        !harness.is_sent(call),
        "a slow target is no reason to stop asking"
    );
    harness.report_work_percent(sampled[2], 100);
    assert_eq!(harness.get_last_attempt(call).target, sampled[2]);
}

#[test]
fn fresh_report() {
    let mut harness = Harness::with_spec(make_sampled_spec(6));
    let (first, sampled) = arrive(&mut harness);
    harness.report_work_percent(sampled[1], 100);
    assert!(harness.is_sent(first));
    harness.pause(10);
    let (second, more) = arrive(&mut harness);
    assert!(more.is_empty(), "a report of 10 ms ago is good enough");
    assert_eq!(harness.get_last_attempt(second).target, sampled[1]);
    harness.pause(SAMPLE_FRESH_MS);
    let (_, again) = arrive(&mut harness);
    assert!(!again.is_empty(), "the pace may have changed since");
}

#[test]
fn slow_everywhere() {
    let mut harness = Harness::with_spec(make_sampled_spec(3));
    let (call, sampled) = arrive(&mut harness);
    for target in sampled {
        harness.report_work_percent(target, 500);
    }
    assert!(
        !harness.is_sent(call),
        "the pace may change within the objective"
    );
    let mut waited = 0;
    while !harness.is_sent(call) {
        harness.advance(10);
        waited += 10;
        assert!(waited <= 400, "the work itself needs its time");
    }
}

/// In a crest a slot on a slow machine is left for those behind, and the last
/// of a queue is not placed late in front of them.
#[test]
fn crest() {
    let mut harness = Harness::with_spec(make_sampled_spec(3));
    let mut calls = Vec::new();
    for _ in 0..5 {
        calls.push(arrive(&mut harness).0);
        for index in 0..3 {
            harness.report_work_percent(TargetKey::from_index(index), 500);
        }
    }
    harness.advance(150);
    assert!(calls.iter().all(|call| !harness.is_sent(*call)));
    harness.report_work_percent(TargetKey::from_index(1), 100);
    let sent = calls.iter().filter(|call| harness.is_sent(**call)).count();
    assert_eq!(sent, 3, "the slots of the fast machine are all used");
    assert!(harness.sent.iter().all(|sent| sent.target.get_index() == 1));
}

/// A target that told a good pace just now goes before a nearer and emptier
/// one about which only an old report is known.
#[test]
fn good_before_unknown() {
    let mut spec = make_sampled_spec(2);
    spec.targets[0].domain = "far".into();
    spec.targets[1].domain = "near".into();
    let mut harness = Harness::with_spec(spec);
    harness.service.set_place(&"vm".into(), "near".into());
    let (first, _) = arrive(&mut harness);
    harness.report_work_percent(TargetKey::from_index(1), 100);
    assert_eq!(harness.get_last_attempt(first).target.get_index(), 1);
    harness.pause(SAMPLE_FRESH_MS + 1);
    harness.report_work_percent(TargetKey::from_index(0), 100);
    let far = [(); 3].map(|()| harness.arrive_within(SHORT, 4_000));
    let targets = far.map(|call| harness.get_last_attempt(call).target.get_index());
    assert_eq!(targets, [0, 0, 0]);
}

/// A second attempt starts while it can still meet the objective, on a target
/// that tells a good pace then.
#[test]
fn hedge_in_time() {
    let mut spec = make_sampled_spec(3);
    spec.hedge_percent = 100;
    let mut harness = Harness::with_spec(spec);
    for _ in 0..30 {
        let (call, _) = arrive(&mut harness);
        harness.report_work_percent(TargetKey::from_index(0), 100);
        let sent = harness.get_last_attempt(call);
        harness.advance(190);
        harness.answer(sent);
    }
    let (call, _) = arrive(&mut harness);
    harness.report_work_percent(TargetKey::from_index(0), 100);
    let first = harness.get_last_attempt(call);
    let sampled = harness.sampled.len();
    let mut passed = 0;
    while harness.get_last_attempt(call).attempt == first.attempt {
        harness.advance(10);
        passed += 10;
        if harness.sampled.len() > sampled {
            harness.report_work_percent(TargetKey::from_index(1), 500);
            harness.report_work_percent(TargetKey::from_index(2), 100);
        }
        assert!(passed < 600 - 190, "too late for the objective");
    }
    let hedge = harness.get_last_attempt(call);
    assert_eq!(hedge.kind, AttemptKind::Hedge);
    assert_eq!(hedge.target.get_index(), 2);
    assert!(passed > 190, "most answers are there after {passed} ms");
}

/// The timer is never set to a time that has passed.
#[test]
fn wake_up_times() {
    let mut harness = Harness::with_spec(make_sampled_spec(3));
    let (call, _) = arrive(&mut harness);
    while !harness.is_sent(call) {
        let wake = harness
            .service
            .next_wake(harness.now)
            .expect("a call waits");
        assert!(wake > harness.now, "a timer in the past would spin");
        harness.now = wake;
        harness.advance(0);
    }
}

#[test]
fn silent_targets() {
    let mut harness = Harness::with_spec(make_sampled_spec(3));
    let (call, _) = arrive(&mut harness);
    harness.advance(SAMPLE_WAIT_MS - 1);
    assert!(!harness.is_sent(call));
    for _ in 0..10 {
        harness.advance(SAMPLE_WAIT_MS);
    }
    assert!(
        harness.is_sent(call),
        "a question without an answer is not waited for"
    );
}

#[test]
fn budget_in_a_rush() {
    let mut spec = make_sampled_spec(6);
    spec.probes_per_second = 40;
    let mut harness = Harness::with_spec(spec);
    harness.set_fleet(2, 0);
    for _ in 0..4_000 {
        arrive(&mut harness);
        harness.advance(1);
    }
    // Half of 40 a second for this VM over 4 s, and one second's worth saved up.
    assert!(
        harness.sampled.len() <= 100,
        "{} questions",
        harness.sampled.len()
    );
}

#[test]
fn declared_services_ask_nobody() {
    let mut harness = Harness::new(3, 2);
    harness.send(SHORT);
    assert!(harness.sampled.is_empty());
}
