//! Queues, deadlines and refusals.

mod common;

use common::{Bench, LONG, ONCE, SHORT, make_spec};
use gentianridge_core::{Outcome, ResultCode};

#[test]
fn earliest_deadline() {
    let mut bench = Bench::new(1, 1);
    let first = bench.send(SHORT);
    let late = bench.arrive_within(SHORT, 900);
    let early = bench.arrive_within(SHORT, 400);
    bench.pass(5);
    bench.answer(first);
    assert!(bench.is_sent(early));
    assert!(!bench.is_sent(late));
}

#[test]
fn background_yields() {
    let mut bench = Bench::new(1, 2);
    let first = bench.send(SHORT);
    let _second = bench.send(SHORT);
    let long = bench.arrive(LONG);
    let short = bench.arrive(SHORT);
    bench.answer(first);
    assert!(bench.is_sent(short));
    assert!(!bench.is_sent(long));
}

#[test]
fn full_queue() {
    let mut spec = make_spec(1, 1);
    spec.classes[0].queue = 2;
    let mut bench = Bench::with(spec);
    bench.send(SHORT);
    bench.arrive(SHORT);
    bench.arrive(SHORT);
    let refused = bench.arrive(SHORT);
    assert_eq!(bench.code_of(refused), Some(ResultCode::QueueFull));
}

#[test]
fn unreachable_deadline() {
    let mut bench = Bench::new(1, 1);
    let call = bench.arrive_within(SHORT, 1);
    assert_eq!(bench.code_of(call), Some(ResultCode::DeadlineUnreachable));
}

#[test]
fn expired_wait() {
    let mut bench = Bench::new(1, 1);
    bench.send(SHORT);
    let waiting = bench.arrive_within(SHORT, 200);
    bench.pass(500);
    assert_eq!(bench.code_of(waiting), Some(ResultCode::DeadlinePassed));
    assert_eq!(bench.service.count_waiting(), 0);
}

#[test]
fn paused_process() {
    let mut bench = Bench::new(1, 1);
    let first = bench.send(SHORT);
    let waiting = bench.arrive(ONCE);
    bench.pause(60_000);
    bench.answer(first);
    assert!(
        !bench.is_sent(waiting),
        "a call past its deadline is never dispatched"
    );
    assert_eq!(bench.code_of(waiting), Some(ResultCode::DeadlinePassed));
}

#[test]
fn caller_gone() {
    let mut bench = Bench::new(1, 1);
    let first = bench.send(SHORT);
    let waiting = bench.arrive(SHORT);
    bench.cancel(waiting);
    bench.cancel(first.call);
    assert_eq!(bench.cancelled, vec![first.attempt]);
    assert_eq!(bench.service.count_calls(), 0);
    assert_eq!(bench.service.count_attempts(), 0);
}

#[test]
fn drained_service() {
    let mut spec = make_spec(2, 1);
    for target in &mut spec.targets {
        target.drain = true;
    }
    let mut bench = Bench::with(spec);
    let call = bench.arrive(SHORT);
    assert_eq!(bench.code_of(call), Some(ResultCode::NoTarget));
}

#[test]
fn late_answer() {
    let mut bench = Bench::new(2, 1);
    let sent = bench.send(SHORT);
    bench.fail(sent, Outcome::TimedOut);
    assert_eq!(bench.code_of(sent.call), Some(ResultCode::AttemptTimeout));
    bench.answer(sent);
    assert!(
        bench.delivered.is_empty(),
        "an answer after the refusal is dropped"
    );
}
