//! Selection, ejection, limits and removal of targets.

mod common;

use common::{Harness, SHORT, make_spec};
use gentianridge_core::{AttemptKind, EventKind, Outcome, TargetCondition, TargetKey, TargetSpec};

fn get_condition(harness: &Harness, target: TargetKey) -> TargetCondition {
    harness.service.get_status(harness.now)[target.get_index()].condition
}

#[test]
fn busy_target_avoided() {
    let mut harness = Harness::new(2, 3);
    let first = harness.send(SHORT);
    harness.report(first, 3, false);
    for _ in 0..3 {
        let next = harness.send(SHORT);
        assert_ne!(next.target, first.target);
    }
}

#[test]
fn old_report_decays() {
    let mut harness = Harness::new(1, 3);
    harness.set_fleet(5, 0);
    for _ in 0..50 {
        let sent = harness.send(SHORT);
        harness.report(sent, 3, false);
        harness.answer(sent);
        harness.advance(5);
    }
    let busy = harness.service.get_status(harness.now)[0].occupancy;
    harness.advance(10_000);
    let idle = harness.service.get_status(harness.now)[0].occupancy;
    assert!(
        busy > 1.0 && idle < 0.1,
        "occupancy {busy} with reports, {idle} after 10 s without reports"
    );
}

#[test]
fn failing_target_ejected() {
    let mut harness = Harness::new(4, 3);
    harness.warm_up(40, 5);
    let faulty = harness.service.find_target("t0").expect("t0 is declared");
    let mut failures = 0;
    for _ in 0..200 {
        let sent = harness.send(SHORT);
        harness.advance(1);
        if sent.target == faulty {
            failures += 1;
            harness.fail(sent, Outcome::Refused);
            let repeat = harness.get_last_attempt(sent.call);
            assert_ne!(repeat.target, faulty);
            harness.answer(repeat);
        } else {
            harness.answer(sent);
        }
    }
    assert_eq!(get_condition(&harness, faulty), TargetCondition::Ejected);
    assert!(failures <= 5, "{failures} calls went to a failing target");
}

#[test]
fn slow_target_avoided() {
    let mut harness = Harness::new(4, 3);
    harness.warm_up(60, 5);
    let faulty = harness.service.find_target("t1").expect("t1 is declared");
    let calls = 400;
    let mut slow = 0;
    for _ in 0..calls {
        let sent = harness.send(SHORT);
        slow += u32::from(sent.target == faulty);
        harness.advance(if sent.target == faulty { 60 } else { 5 });
        harness.answer(sent);
    }
    assert!(
        slow * 20 <= calls,
        "{slow} of {calls} calls went to a slow target"
    );
}

#[test]
fn slow_target_ejected() {
    let mut harness = Harness::new(4, 3);
    harness.warm_up(60, 5);
    let faulty = harness.service.find_target("t1").expect("t1 is declared");
    for round in 0..100 {
        for _ in 0..11 {
            harness.arrive(SHORT);
        }
        harness.advance(5);
        for sent in harness.sent.clone() {
            if sent.target != faulty || round % 10 == 9 {
                harness.answer(sent);
            }
        }
        if get_condition(&harness, faulty) == TargetCondition::Ejected {
            return;
        }
    }
    panic!("a target with ten times the usual answer time was not ejected");
}

#[test]
fn trial_return() {
    let mut harness = Harness::new(3, 3);
    harness.warm_up(60, 5);
    let faulty = harness.service.find_target("t0").expect("t0 is declared");
    while get_condition(&harness, faulty) != TargetCondition::Ejected {
        let mut sent = harness.send(SHORT);
        harness.advance(5);
        while sent.target == faulty {
            harness.fail(sent, Outcome::Refused);
            sent = harness.get_last_attempt(sent.call);
        }
        harness.answer(sent);
    }
    harness.advance(1_500);
    harness.warm_up(20, 5);
    assert_eq!(get_condition(&harness, faulty), TargetCondition::Active);
    let trials = harness
        .sent
        .iter()
        .filter(|sent| sent.kind == AttemptKind::Trial);
    assert_eq!(
        trials.count(),
        2,
        "single trial requests bring a target back"
    );
    let is_return = |event: &EventKind| matches!(event, EventKind::TargetReturned { .. });
    assert!(harness.events.iter().any(is_return));
}

#[test]
fn ejection_floor() {
    let mut harness = Harness::new(4, 3);
    harness.warm_up(40, 5);
    for _ in 0..400 {
        let sent = harness.send(SHORT);
        harness.advance(10);
        harness.answer_error(sent, true);
    }
    let ejected = harness
        .service
        .get_status(harness.now)
        .iter()
        .filter(|target| target.condition == TargetCondition::Ejected)
        .count();
    assert!(ejected <= 2, "{ejected} of 4 targets are ejected");
    assert!(harness.service.get_counters().ejections_denied > 0);
}

#[test]
fn leaving_report_used() {
    let mut harness = Harness::new(2, 3);
    let first = harness.send(SHORT);
    harness.report(first, 1, true);
    for _ in 0..3 {
        assert_ne!(harness.send(SHORT).target, first.target);
    }
    assert_eq!(
        get_condition(&harness, first.target),
        TargetCondition::Leaving
    );
}

#[test]
fn wrong_reports_tolerated() {
    let mut harness = Harness::new(2, 8);
    let mut held = Vec::new();
    for _ in 0..8 {
        held.push(harness.send(SHORT));
    }
    for sent in held {
        harness.report(sent, 0, false);
        harness.answer(sent);
    }
    let status = harness.service.get_status(harness.now);
    assert!(status.iter().all(|target| target.own == 0));
}

#[test]
fn shed_limits() {
    let mut spec = make_spec(2, 8);
    spec.retry_percent = 100;
    let mut harness = Harness::with_spec(spec);
    let first = harness.send(SHORT);
    harness.fail(first, Outcome::Shed);
    let is_limit = |event: &EventKind| matches!(event, EventKind::TargetLimited { limit: 6, .. });
    assert!(harness.events.iter().any(is_limit), "{:?}", harness.events);
}

#[test]
fn undeclared_slots() {
    let mut spec = make_spec(1, 1);
    spec.targets[0].slots = None;
    let mut harness = Harness::with_spec(spec);
    for _ in 0..200 {
        let sent: Vec<_> = (0..8).map(|_| harness.arrive(SHORT)).collect();
        harness.advance(5);
        for call in sent {
            let sent = harness.get_last_attempt(call);
            harness.answer(sent);
        }
    }
    assert!(
        harness.service.get_status(harness.now)[0].slots > 8.0,
        "the limit grows while answers are in time"
    );
}

#[test]
fn removed_target_finishes() {
    let mut harness = Harness::new(2, 3);
    let first = harness.send(SHORT);
    let mut spec = make_spec(3, 3);
    spec.targets.remove(first.target.get_index());
    harness.apply(spec);
    let second = harness.send(SHORT);
    assert_ne!(
        harness
            .service
            .get_target(second.target)
            .map(|t| t.name.clone()),
        harness
            .service
            .get_target(first.target)
            .map(|t| t.name.clone())
    );
    harness.answer(first);
    assert_eq!(
        harness.delivered,
        vec![first.call],
        "a request in flight on a removed target is answered"
    );
}

/// Guards against a probe whose report is credited to the target that took over the key of
/// a removed one.
#[test]
fn key_of_replaced_target() {
    let mut harness = Harness::new(2, 3);
    let key = TargetKey::from_index(0);
    let old = harness.service.get_target(key).expect("a target").clone();
    let is_same = |harness: &Harness, spec: &TargetSpec| {
        harness
            .service
            .is_same_target(key, spec.addr, &spec.get_incarnation())
    };
    assert!(is_same(&harness, &old));
    let mut spec = make_spec(2, 3);
    spec.targets[0].name = "new".into();
    spec.targets[0].addr = "10.0.0.9:80".parse().expect("an address");
    harness.apply(spec);
    let new = harness.service.get_target(key).expect("a target").clone();
    assert_eq!(new.name, "new", "the key is used again");
    assert!(!is_same(&harness, &old));
    assert!(is_same(&harness, &new));
    // The same id after a restart is another process.
    let mut restarted = new.clone();
    restarted.incarnation += 1;
    assert!(!is_same(&harness, &restarted));
}
