//! Retries, hedges and their budgets.

mod common;

use common::{Harness, ONCE, SHORT, make_spec};
use gentianridge_core::{AttemptKind, Outcome, ResultCode};

#[test]
fn shed_retried_elsewhere() {
    let mut harness = Harness::new(2, 3);
    let first = harness.send(ONCE);
    harness.fail(first, Outcome::Shed);
    let second = harness.get_last_attempt(first.call);
    assert_eq!(second.kind, AttemptKind::Retry);
    assert_ne!(second.target, first.target);
}

#[test]
fn once_not_repeated() {
    for outcome in [Outcome::Broken, Outcome::Silent, Outcome::TimedOut] {
        let mut harness = Harness::new(2, 3);
        let sent = harness.send(ONCE);
        harness.fail(sent, outcome);
        assert_eq!(harness.sent.len(), 1, "{outcome:?} may have run");
        let code = harness.get_code(sent.call).expect("the call is refused");
        assert_eq!(code.run_state(), gentianridge_core::RunState::Unknown);
    }
}

#[test]
fn unknown_after_shed() {
    let mut harness = Harness::new(3, 3);
    let first = harness.send(ONCE);
    harness.fail(first, Outcome::Shed);
    let second = harness.get_last_attempt(first.call);
    harness.fail(second, Outcome::Broken);
    assert_eq!(
        harness.get_code(first.call),
        Some(ResultCode::AttemptFailed)
    );
}

#[test]
fn retry_budget_exhausted() {
    let mut harness = Harness::new(4, 3);
    let total = 1_000;
    for _ in 0..total {
        let sent = harness.send(SHORT);
        harness.advance(1);
        let mut next = sent;
        loop {
            let before = harness.sent.len();
            harness.answer_error(next, false);
            if harness.sent.len() == before {
                break;
            }
            next = harness.get_last_attempt(sent.call);
        }
    }
    let counters = harness.service.get_counters();
    assert!(
        counters.retries <= total / 10 + 10,
        "{} retries",
        counters.retries
    );
    assert!(counters.retries_denied > 0);
}

#[test]
fn retried_below_delivered() {
    let mut harness = Harness::new(2, 3);
    let sent = harness.send(SHORT);
    harness.answer_error(sent, true);
    assert_eq!(harness.sent.len(), 1);
    assert_eq!(harness.delivered, vec![sent.call]);
}

/// Sends one call through levels that all retry, above a backend that fails.
///
/// Returns true if the failure comes from a level that could have retried.
fn send_through_levels(
    levels: &mut [Harness],
    has_retried_header: bool,
    backend_attempts: &mut u64,
) -> bool {
    let Some((level, below)) = levels.split_first_mut() else {
        *backend_attempts += 1;
        return false;
    };
    let call = level.arrive(SHORT);
    loop {
        let sent = level.get_last_attempt(call);
        let is_forwarded = send_through_levels(below, has_retried_header, backend_attempts);
        let before = level.sent.len();
        level.advance(0);
        level.answer_error(sent, has_retried_header && is_forwarded);
        if level.sent.len() == before {
            return true;
        }
    }
}

fn measure_amplification(has_retried_header: bool) -> f64 {
    let mut levels: Vec<Harness> = (0..13).map(|_| Harness::new(4, 100)).collect();
    let calls = 2_000;
    let mut backend_attempts = 0;
    for _ in 0..calls {
        send_through_levels(&mut levels, has_retried_header, &mut backend_attempts);
    }
    backend_attempts as f64 / f64::from(calls)
}

#[test]
fn thirteen_levels_amplification() {
    let with_header = measure_amplification(true);
    let without_header = measure_amplification(false);
    println!(
        "backend attempts per call: {with_header:.3} with the retried header, {without_header:.3} without"
    );
    assert!(with_header <= 1.2, "{with_header} attempts per call");
    assert!(
        without_header > with_header,
        "the retried header reduces the attempts"
    );
}

#[test]
fn all_targets_tried() {
    let mut spec = make_spec(2, 1);
    spec.retry_percent = 100;
    let mut harness = Harness::with_spec(spec);
    let first = harness.send(SHORT);
    harness.fail(first, Outcome::Shed);
    let second = harness.get_last_attempt(first.call);
    harness.fail(second, Outcome::Shed);
    let queued = harness.arrive(SHORT);
    harness.advance(50);
    let third = harness.get_last_attempt(first.call);
    harness.answer(third);
    assert!(
        harness.is_sent(queued),
        "a call that has tried every target does not block the queue"
    );
    assert_eq!(harness.delivered, vec![first.call]);
}

#[test]
fn declined_not_retried() {
    let mut harness = Harness::new(2, 3);
    let sent = harness.send(ONCE);
    harness.fail(sent, Outcome::Declined);
    assert_eq!(harness.sent.len(), 1);
    assert_eq!(
        harness.get_code(sent.call),
        Some(ResultCode::TargetsRefused)
    );
}

#[test]
fn hedge_wins() {
    let mut harness = Harness::new(3, 3);
    harness.warm_up(60, 5);
    let slow = harness.send(SHORT);
    harness.advance(100);
    let hedge = harness.get_last_attempt(slow.call);
    assert_eq!(hedge.kind, AttemptKind::Hedge);
    assert_ne!(hedge.target, slow.target);
    harness.answer(hedge);
    assert_eq!(
        harness.cancelled,
        vec![slow.attempt],
        "the loser is cancelled"
    );
    assert_eq!(harness.delivered.last(), Some(&slow.call));
}

#[test]
fn late_hedge_cancelled() {
    let mut harness = Harness::new(3, 3);
    harness.warm_up(60, 5);
    let first = harness.send(SHORT);
    harness.advance(50);
    let hedge = harness.get_last_attempt(first.call);
    assert_eq!(hedge.kind, AttemptKind::Hedge);
    harness.advance(50);
    assert_eq!(
        harness.cancelled,
        vec![hedge.attempt],
        "one attempt suffices for a request that is slow on two targets"
    );
    harness.answer(first);
    assert_eq!(harness.delivered.last(), Some(&first.call));
}

#[test]
fn once_not_hedged() {
    let mut harness = Harness::new(3, 3);
    harness.warm_up(60, 5);
    let sent = harness.send(ONCE);
    harness.advance(500);
    assert_eq!(harness.get_last_attempt(sent.call).attempt, sent.attempt);
}

#[test]
fn zero_budget() {
    let mut spec = make_spec(3, 3);
    spec.retry_percent = 0;
    spec.hedge_percent = 0;
    let mut harness = Harness::with_spec(spec);
    harness.warm_up(60, 5);
    let sent = harness.send(SHORT);
    harness.advance(100);
    harness.fail(sent, Outcome::Refused);
    assert_eq!(
        harness.get_code(sent.call),
        Some(ResultCode::TargetsRefused)
    );
}
