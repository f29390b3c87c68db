//! Targets that requested a pause, and attempts that are withdrawn before the send.

mod common;

use common::{Harness, ONCE, REPEAT_LIMIT, SHORT, make_sampled_spec, make_spec};
use gentianridge_core::{
    AttemptKind, EventKind, Outcome, ResultCode, ServiceSpec, TargetCondition, TargetKey,
};
use std::time::Duration;

/// Sets the pauses of the first targets of a declaration, in milliseconds.
fn set_pauses(harness: &Harness, spec: &mut ServiceSpec, pauses: &[u64]) {
    for (target, pause) in spec.targets.iter_mut().zip(pauses) {
        target.paused_until = Some(harness.now + Duration::from_millis(*pause));
    }
}

fn apply_pauses(harness: &mut Harness, mut spec: ServiceSpec, pauses: &[u64]) {
    set_pauses(harness, &mut spec, pauses);
    harness.apply(spec);
}

/// Neither a first attempt nor a retry goes to a paused target, and it gets work again
/// when its pause ends.
#[test]
fn no_work_during_pause() {
    let mut harness = Harness::new(2, 3);
    apply_pauses(&mut harness, make_spec(2, 3), &[400]);
    for _ in 0..3 {
        assert_eq!(harness.send(SHORT).target, TargetKey::from_index(1));
    }
    // The other target is full: calls wait for it or for the end of the pause.
    let call = harness.arrive(SHORT);
    assert!(!harness.is_sent(call));
    harness.advance(399);
    assert!(!harness.is_sent(call));
    harness.advance(2);
    assert_eq!(
        harness.get_last_attempt(call).target,
        TargetKey::from_index(0)
    );
}

#[test]
fn no_retry_or_hedge_during_pause() {
    let mut harness = Harness::new(3, 3);
    harness.warm_up(40, 10);
    apply_pauses(&mut harness, make_spec(3, 3), &[5_000, 5_000]);
    let failed = harness.send(SHORT);
    assert_eq!(failed.target, TargetKey::from_index(2));
    harness.fail(failed, Outcome::Shed);
    // The next call is late on the only target that is left, and gets no hedge.
    let late = harness.send(SHORT);
    harness.advance(500);
    assert_eq!(late.target, TargetKey::from_index(2));
    let hedges = harness.sent.iter().filter(|sent| sent.call == late.call);
    assert_eq!(hedges.count(), 1);
    let mut later = harness.sent[40..].iter();
    assert!(later.all(|sent| sent.target == TargetKey::from_index(2)));
}

#[test]
fn no_trial_during_pause() {
    let mut harness = Harness::new(4, 3);
    harness.warm_up(80, 10);
    for _ in 0..200 {
        let sent = harness.send(SHORT);
        harness.advance(10);
        if sent.target == TargetKey::from_index(0) {
            harness.fail(sent, Outcome::Broken);
        }
        let last = harness.get_last_attempt(sent.call);
        harness.answer(last);
    }
    let is_ejected = |event: &EventKind| matches!(event, EventKind::TargetEjected { .. });
    assert!(harness.events.iter().any(is_ejected));
    apply_pauses(&mut harness, make_spec(4, 3), &[60_000]);
    let before = harness.sent.len();
    for _ in 0..50 {
        harness.advance(1_000);
        let sent = harness.send(SHORT);
        harness.answer(sent);
    }
    let later = &harness.sent[before..];
    assert!(
        later
            .iter()
            .all(|sent| sent.target != TargetKey::from_index(0))
    );
    assert!(later.iter().all(|sent| sent.kind != AttemptKind::Trial));
}

#[test]
fn no_load_request_during_pause() {
    let mut harness = Harness::with_spec(make_sampled_spec(3));
    apply_pauses(&mut harness, make_sampled_spec(3), &[5_000, 5_000]);
    for _ in 0..5 {
        harness.arrive(SHORT);
        harness.advance(100);
    }
    assert!(!harness.sampled.is_empty());
    assert!(
        harness
            .sampled
            .iter()
            .all(|target| *target == TargetKey::from_index(2))
    );
}

/// If every target is paused for longer than a call can wait, it is refused at once, and the
/// refusal states when the first target returns.
#[test]
fn refused_if_all_paused() {
    let mut harness = Harness::new(2, 3);
    apply_pauses(&mut harness, make_spec(2, 3), &[5_000, 3_000]);
    let call = harness.arrive(SHORT);
    assert_eq!(harness.get_code(call), Some(ResultCode::TargetsPaused));
    let short = harness.get_class(SHORT);
    let wait = harness.service.estimate_capacity_wait(harness.now, short);
    assert_eq!(wait, Duration::from_secs(3));
}

/// A call that can still be in time after the first pause waits for its end.
#[test]
fn waits_for_short_pause() {
    let mut harness = Harness::new(2, 3);
    apply_pauses(&mut harness, make_spec(2, 3), &[300, 5_000]);
    let call = harness.arrive(ONCE);
    assert_eq!(harness.get_code(call), None);
    harness.advance(301);
    assert_eq!(
        harness.get_last_attempt(call).target,
        TargetKey::from_index(0)
    );
}

/// Calls that wait when the last target requests a long pause are refused at once.
#[test]
fn waiting_calls_refused() {
    let mut harness = Harness::new(1, 1);
    let _running = harness.send(SHORT);
    let call = harness.arrive(SHORT);
    assert_eq!(harness.get_code(call), None);
    apply_pauses(&mut harness, make_spec(1, 1), &[10_000]);
    assert_eq!(harness.get_code(call), Some(ResultCode::TargetsPaused));
}

/// A target that requests pauses is no failing target: it is not ejected, and its limit
/// stays.
#[test]
fn pause_is_no_failure() {
    let mut spec = make_spec(1, 3);
    spec.classes[1].max_attempts = 1;
    let mut harness = Harness::with_spec(spec);
    for outcome in [Outcome::Paused, Outcome::PausedUnknown].repeat(5) {
        let sent = harness.send(ONCE);
        harness.fail(sent, outcome);
    }
    let status = &harness.service.get_status(harness.now)[0];
    assert_eq!(status.condition, TargetCondition::Active);
    assert!((status.slots - 3.0).abs() < f32::EPSILON);
    assert!(harness.events.is_empty(), "{:?}", harness.events);
}

/// A refusal without the statement that the request did not run may have run it.
#[test]
fn unknown_pause_not_repeated() {
    let mut harness = Harness::new(2, 3);
    harness.warm_up(40, 10);
    let sent = harness.send(ONCE);
    harness.fail(sent, Outcome::PausedUnknown);
    assert_eq!(harness.get_code(sent.call), Some(ResultCode::AttemptFailed));
    let sent = harness.send(ONCE);
    harness.fail(sent, Outcome::Paused);
    assert_eq!(harness.get_last_attempt(sent.call).kind, AttemptKind::Retry);
}

/// An attempt that is withdrawn before the send is placed anew as the same kind and uses
/// up neither attempts nor the budget of the fleet.
#[test]
fn withdrawn_attempt_placed_anew() {
    let mut spec = make_spec(4, 3);
    spec.repeats = Some(REPEAT_LIMIT);
    spec.retry_percent = 0;
    let mut harness = Harness::with_spec(spec.clone());
    let mut sent = harness.send(ONCE);
    for _ in 0..3 {
        let left = sent.target;
        let index = left.get_index();
        spec.targets[index].drain = true;
        harness.apply(spec.clone());
        harness.fail(sent, Outcome::Withdrawn);
        let next = harness.get_last_attempt(sent.call);
        assert_ne!(next.target, left);
        assert_eq!(next.kind, AttemptKind::First);
        sent = next;
    }
    harness.answer(sent);
    assert_eq!(harness.delivered, [sent.call]);
}

/// A call whose attempts are withdrawn again and again ends in a refusal.
#[test]
fn endless_withdrawals() {
    let mut harness = Harness::new(2, 3);
    let call = harness.arrive(SHORT);
    for _ in 0..20 {
        if harness.get_code(call).is_some() {
            break;
        }
        let sent = harness.get_last_attempt(call);
        harness.fail(sent, Outcome::Withdrawn);
    }
    assert_eq!(harness.get_code(call), Some(ResultCode::TargetsRefused));
}
