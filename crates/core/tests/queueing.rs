//! Queues, deadlines and refusals.

mod common;

use common::{Harness, LONG, ONCE, SHORT, make_spec};
use gentianridge_core::{Outcome, ResultCode};

#[test]
fn earliest_deadline_first() {
    let mut harness = Harness::new(1, 1);
    let first = harness.send(SHORT);
    let late = harness.arrive_within(SHORT, 900);
    let early = harness.arrive_within(SHORT, 400);
    harness.advance(5);
    harness.answer(first);
    assert!(harness.is_sent(early));
    assert!(!harness.is_sent(late));
}

#[test]
fn background_yields() {
    let mut harness = Harness::new(1, 2);
    let first = harness.send(SHORT);
    let _second = harness.send(SHORT);
    let long = harness.arrive(LONG);
    let short = harness.arrive(SHORT);
    harness.answer(first);
    assert!(harness.is_sent(short));
    assert!(!harness.is_sent(long));
}

#[test]
fn full_queue_refuses() {
    let mut spec = make_spec(1, 1);
    spec.classes[0].queue = 2;
    let mut harness = Harness::with_spec(spec);
    harness.send(SHORT);
    harness.arrive(SHORT);
    harness.arrive(SHORT);
    let refused = harness.arrive(SHORT);
    assert_eq!(harness.get_code(refused), Some(ResultCode::QueueFull));
}

#[test]
fn unreachable_deadline() {
    let mut harness = Harness::new(1, 1);
    let call = harness.arrive_within(SHORT, 1);
    assert_eq!(
        harness.get_code(call),
        Some(ResultCode::DeadlineUnreachable)
    );
}

#[test]
fn wait_past_deadline() {
    let mut harness = Harness::new(1, 1);
    harness.send(SHORT);
    let waiting = harness.arrive_within(SHORT, 200);
    harness.advance(500);
    assert_eq!(harness.get_code(waiting), Some(ResultCode::DeadlinePassed));
    assert_eq!(harness.service.count_waiting(), 0);
}

#[test]
fn paused_process() {
    let mut harness = Harness::new(1, 1);
    let first = harness.send(SHORT);
    let waiting = harness.arrive(ONCE);
    harness.pause(60_000);
    harness.answer(first);
    assert!(
        !harness.is_sent(waiting),
        "a call past its deadline is never dispatched"
    );
    assert_eq!(harness.get_code(waiting), Some(ResultCode::DeadlinePassed));
}

#[test]
fn caller_gone_cancels() {
    let mut harness = Harness::new(1, 1);
    let first = harness.send(SHORT);
    let waiting = harness.arrive(SHORT);
    harness.cancel(waiting);
    harness.cancel(first.call);
    assert_eq!(harness.cancelled, vec![first.attempt]);
    assert_eq!(harness.service.count_calls(), 0);
    assert_eq!(harness.service.count_attempts(), 0);
}

#[test]
fn drained_service_refuses() {
    let mut spec = make_spec(2, 1);
    for target in &mut spec.targets {
        target.drain = true;
    }
    let mut harness = Harness::with_spec(spec);
    let call = harness.arrive(SHORT);
    assert_eq!(harness.get_code(call), Some(ResultCode::NoTarget));
}

#[test]
fn late_answer_dropped() {
    let mut harness = Harness::new(2, 1);
    let sent = harness.send(SHORT);
    harness.fail(sent, Outcome::TimedOut);
    assert_eq!(
        harness.get_code(sent.call),
        Some(ResultCode::AttemptTimeout)
    );
    harness.answer(sent);
    assert!(
        harness.delivered.is_empty(),
        "an answer after the refusal is dropped"
    );
}
