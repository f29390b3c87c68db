//! Load requests to targets before a request is dispatched.

mod common;

use common::{Harness, SAMPLE_FRESH_MS, SAMPLE_WAIT_MS, SHORT, make_sampled_spec};
use gentianridge_core::{AttemptKind, CallKey, TargetKey};

/// Submits a call; returns it with the targets that were sampled for it.
fn arrive_sampled(harness: &mut Harness) -> (CallKey, Vec<TargetKey>) {
    let before = harness.sampled.len();
    let call = harness.arrive_within(SHORT, 4_000);
    (call, harness.sampled[before..].to_vec())
}

#[test]
fn fast_target_chosen() {
    let mut harness = Harness::with_spec(make_sampled_spec(6));
    let (call, sampled) = arrive_sampled(&mut harness);
    assert_eq!(sampled.len(), 3);
    assert!(!harness.is_sent(call), "the call waits for load samples");
    harness.pause(5);
    harness.report_work_percent(sampled[0], 500);
    assert!(
        !harness.is_sent(call),
        "the call waits for further samples after that of a slow target"
    );
    harness.report_work_percent(sampled[2], 100);
    assert_eq!(harness.get_last_attempt(call).target, sampled[2]);
}

#[test]
fn fresh_sample_reused() {
    let mut harness = Harness::with_spec(make_sampled_spec(6));
    let (first, sampled) = arrive_sampled(&mut harness);
    harness.report_work_percent(sampled[1], 100);
    assert!(harness.is_sent(first));
    harness.pause(10);
    let (second, more) = arrive_sampled(&mut harness);
    assert!(more.is_empty(), "a sample of 10 ms ago is fresh enough");
    assert_eq!(harness.get_last_attempt(second).target, sampled[1]);
    harness.pause(SAMPLE_FRESH_MS);
    let (_, again) = arrive_sampled(&mut harness);
    assert!(
        !again.is_empty(),
        "the relative work time may have changed since the last sample"
    );
}

#[test]
fn all_targets_slow() {
    let mut harness = Harness::with_spec(make_sampled_spec(3));
    let (call, sampled) = arrive_sampled(&mut harness);
    for target in sampled {
        harness.report_work_percent(target, 500);
    }
    assert!(
        !harness.is_sent(call),
        "a target may become faster within the objective"
    );
    let mut waited = 0;
    while !harness.is_sent(call) {
        harness.advance(10);
        waited += 10;
        assert!(
            waited <= 400,
            "the rest of the objective is needed for the work"
        );
    }
}

/// In a load peak, a slot on a slow target is left to the queued calls until the target is
/// fast again, and the last call of the queue does not take it ahead of the others.
#[test]
fn peak_leaves_slow_slots() {
    let mut harness = Harness::with_spec(make_sampled_spec(3));
    let mut calls = Vec::new();
    for _ in 0..5 {
        calls.push(arrive_sampled(&mut harness).0);
        for index in 0..3 {
            harness.report_work_percent(TargetKey::from_index(index), 500);
        }
    }
    harness.advance(150);
    assert!(calls.iter().all(|call| !harness.is_sent(*call)));
    harness.report_work_percent(TargetKey::from_index(1), 100);
    let sent = calls.iter().filter(|call| harness.is_sent(**call)).count();
    assert_eq!(sent, 3, "all slots of the fast target are used");
    assert!(harness.sent.iter().all(|sent| sent.target.get_index() == 1));
}

/// A target with a fresh sample of a usual work time is preferred to a nearer and less busy
/// target that has only an old sample.
#[test]
fn fresh_before_near() {
    let mut spec = make_sampled_spec(2);
    spec.targets[0].domain = "far".into();
    spec.targets[1].domain = "near".into();
    let mut harness = Harness::with_spec(spec);
    harness.service.set_location(&"vm".into(), "near".into());
    let (first, _) = arrive_sampled(&mut harness);
    harness.report_work_percent(TargetKey::from_index(1), 100);
    assert_eq!(harness.get_last_attempt(first).target.get_index(), 1);
    harness.pause(SAMPLE_FRESH_MS + 1);
    harness.report_work_percent(TargetKey::from_index(0), 100);
    let far = [(); 3].map(|()| harness.arrive_within(SHORT, 4_000));
    let targets = far.map(|call| harness.get_last_attempt(call).target.get_index());
    assert_eq!(targets, [0, 0, 0]);
}

/// A hedge starts while it can still meet the objective, on a target whose sample at that
/// time shows a usual work time.
#[test]
fn hedge_meets_objective() {
    let mut spec = make_sampled_spec(3);
    spec.hedge_percent = 100;
    let mut harness = Harness::with_spec(spec);
    for _ in 0..30 {
        let (call, _) = arrive_sampled(&mut harness);
        harness.report_work_percent(TargetKey::from_index(0), 100);
        let sent = harness.get_last_attempt(call);
        harness.advance(190);
        harness.answer(sent);
    }
    let (call, _) = arrive_sampled(&mut harness);
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
    assert!(
        passed > 190,
        "hedged after {passed} ms, before most answers arrive"
    );
}

/// The timer is never set to a time in the past.
#[test]
fn wake_in_future() {
    let mut harness = Harness::with_spec(make_sampled_spec(3));
    let (call, _) = arrive_sampled(&mut harness);
    while !harness.is_sent(call) {
        let wake = harness
            .service
            .next_wake(harness.now)
            .expect("a call waits");
        assert!(
            wake > harness.now,
            "a timer in the past would cause a busy loop"
        );
        harness.now = wake;
        harness.advance(0);
    }
}

#[test]
fn sample_wait_bounded() {
    let mut harness = Harness::with_spec(make_sampled_spec(3));
    let (call, _) = arrive_sampled(&mut harness);
    harness.advance(SAMPLE_WAIT_MS - 1);
    assert!(!harness.is_sent(call));
    for _ in 0..10 {
        harness.advance(SAMPLE_WAIT_MS);
    }
    assert!(
        harness.is_sent(call),
        "the call does not wait longer for a load request without an answer"
    );
}

#[test]
fn sample_budget_bounded() {
    let mut spec = make_sampled_spec(6);
    spec.probes_per_second = 40;
    let mut harness = Harness::with_spec(spec);
    harness.set_fleet(2, 0);
    for _ in 0..4_000 {
        arrive_sampled(&mut harness);
        harness.advance(1);
    }
    // Half of 40 load requests a second for this VM over 4 s, and one second's unused budget.
    assert!(
        harness.sampled.len() <= 100,
        "{} load requests",
        harness.sampled.len()
    );
}

/// A process without processor time wakes after the objective of a call that waits for
/// samples only. Its answer is late then, and a free slot still takes it.
#[test]
fn late_wake() {
    let mut harness = Harness::with_spec(make_sampled_spec(1));
    let (call, sampled) = arrive_sampled(&mut harness);
    harness.report_work_percent(sampled[0], 500);
    assert!(!harness.is_sent(call), "the call waits for a faster target");
    harness.advance(700);
    assert_eq!(harness.get_code(call), None);
    assert!(harness.is_sent(call));
}

/// Load requests that were not needed are kept for the next seconds, since the few callers
/// of a VM in a large fleet come in bunches.
#[test]
fn budget_saved() {
    let mut spec = make_sampled_spec(6);
    spec.probes_per_second = 4;
    let mut harness = Harness::with_spec(spec);
    harness.set_fleet(2, 0);
    let (first, sampled) = arrive_sampled(&mut harness);
    harness.report_work_percent(sampled[0], 100);
    assert!(harness.is_sent(first));
    harness.pause(5_000);
    for _ in 0..3 {
        harness.pause(SAMPLE_FRESH_MS + 1);
        let (call, sampled) = arrive_sampled(&mut harness);
        assert!(!sampled.is_empty(), "the budget of five seconds is left");
        harness.report_work_percent(sampled[0], 100);
        assert!(harness.is_sent(call));
    }
}

/// When little of the budget is left, targets are asked one after the other.
#[test]
fn last_budget_one_by_one() {
    let mut spec = make_sampled_spec(6);
    spec.probes_per_second = 8;
    let mut harness = Harness::with_spec(spec);
    harness.set_fleet(2, 0);
    let (_, sampled) = arrive_sampled(&mut harness);
    assert_eq!(sampled.len(), 3);
    harness.report_work_percent(sampled[0], 100);
    harness.pause(SAMPLE_FRESH_MS + 1);
    let (call, sampled) = arrive_sampled(&mut harness);
    assert_eq!(sampled.len(), 1);
    harness.report_work_percent(sampled[0], 500);
    assert_eq!(harness.sampled.len(), 4, "nothing of the budget is left");
    assert!(
        harness.is_sent(call),
        "without budget and without others that wait, the call does not wait either"
    );
}

#[test]
fn no_sampling_configured() {
    let mut harness = Harness::new(3, 2);
    harness.send(SHORT);
    assert!(harness.sampled.is_empty());
}
