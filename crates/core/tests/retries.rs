//! Retries, hedges and their budgets.

mod common;

use common::{Harness, ONCE, SHORT, make_spec};
use gentianridge_core::{AttemptKind, Outcome, ResultCode};

#[test]
fn shed_moves() {
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
fn budget_spent() {
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
fn retried_below() {
    let mut harness = Harness::new(2, 3);
    let sent = harness.send(SHORT);
    harness.answer_error(sent, true);
    assert_eq!(harness.sent.len(), 1);
    assert_eq!(harness.delivered, vec![sent.call]);
}

/// Sends one call through levels that all retry, with a failing bottom.
///
/// Returns true if the failure comes from a level that could have retried.
fn send_down(levels: &mut [Harness], is_marked: bool, bottom: &mut u64) -> bool {
    let Some((level, below)) = levels.split_first_mut() else {
        *bottom += 1;
        return false;
    };
    let call = level.arrive(SHORT);
    loop {
        let sent = level.get_last_attempt(call);
        let is_handed_on = send_down(below, is_marked, bottom);
        let before = level.sent.len();
        level.advance(0);
        level.answer_error(sent, is_marked && is_handed_on);
        if level.sent.len() == before {
            return true;
        }
    }
}

fn amplification(is_marked: bool) -> f64 {
    let mut levels: Vec<Harness> = (0..13).map(|_| Harness::new(4, 100)).collect();
    let calls = 2_000;
    let mut bottom = 0;
    for _ in 0..calls {
        send_down(&mut levels, is_marked, &mut bottom);
    }
    bottom as f64 / f64::from(calls)
}

#[test]
fn thirteen_levels() {
    let marked = amplification(true);
    let unmarked = amplification(false);
    println!("attempts at the bottom per call: {marked:.3} with the mark, {unmarked:.3} without");
    assert!(marked <= 1.2, "{marked} attempts per call");
    assert!(unmarked > marked, "the mark has an effect");
}

#[test]
fn tried_everything() {
    let mut spec = make_spec(2, 1);
    spec.retry_percent = 100;
    let mut harness = Harness::with_spec(spec);
    let first = harness.send(SHORT);
    harness.fail(first, Outcome::Shed);
    let second = harness.get_last_attempt(first.call);
    harness.fail(second, Outcome::Shed);
    let behind = harness.arrive(SHORT);
    harness.advance(50);
    let third = harness.get_last_attempt(first.call);
    harness.answer(third);
    assert!(
        harness.is_sent(behind),
        "a call that has tried every target blocks nobody"
    );
    assert_eq!(harness.delivered, vec![first.call]);
}

#[test]
fn declined_below() {
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
fn late_hedge() {
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
        "work that is long on two targets needs one"
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
fn no_budget() {
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
