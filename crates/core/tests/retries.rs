//! Retries, hedges and their budgets.

mod common;

use common::{Bench, ONCE, SHORT, make_spec};
use gentianridge_core::{AttemptKind, Outcome, ResultCode};

#[test]
fn shed_moves() {
    let mut bench = Bench::new(2, 3);
    let first = bench.send(ONCE);
    bench.fail(first, Outcome::Shed);
    let second = bench.last_of(first.call);
    assert_eq!(second.kind, AttemptKind::Retry);
    assert_ne!(second.target, first.target);
}

#[test]
fn once_not_repeated() {
    for outcome in [Outcome::Broken, Outcome::Silent, Outcome::TimedOut] {
        let mut bench = Bench::new(2, 3);
        let sent = bench.send(ONCE);
        bench.fail(sent, outcome);
        assert_eq!(bench.sent.len(), 1, "{outcome:?} may have run");
        let code = bench.code_of(sent.call).expect("the call is refused");
        assert_eq!(code.run_state(), gentianridge_core::RunState::Unknown);
    }
}

#[test]
fn unknown_after_shed() {
    let mut bench = Bench::new(3, 3);
    let first = bench.send(ONCE);
    bench.fail(first, Outcome::Shed);
    let second = bench.last_of(first.call);
    bench.fail(second, Outcome::Broken);
    assert_eq!(bench.code_of(first.call), Some(ResultCode::AttemptFailed));
}

#[test]
fn budget_spent() {
    let mut bench = Bench::new(4, 3);
    let total = 1_000;
    for _ in 0..total {
        let sent = bench.send(SHORT);
        bench.pass(1);
        let mut next = sent;
        loop {
            let before = bench.sent.len();
            bench.answer_error(next, false);
            if bench.sent.len() == before {
                break;
            }
            next = bench.last_of(sent.call);
        }
    }
    let counters = bench.service.get_counters();
    assert!(
        counters.retries <= total / 10 + 10,
        "{} retries",
        counters.retries
    );
    assert!(counters.retries_denied > 0);
}

#[test]
fn retried_below() {
    let mut bench = Bench::new(2, 3);
    let sent = bench.send(SHORT);
    bench.answer_error(sent, true);
    assert_eq!(bench.sent.len(), 1);
    assert_eq!(bench.delivered, vec![sent.call]);
}

/// Sends one call through levels that all retry, with a failing bottom.
///
/// Returns true if the failure comes from a level that could have retried.
fn send_down(levels: &mut [Bench], is_marked: bool, bottom: &mut u64) -> bool {
    let Some((level, below)) = levels.split_first_mut() else {
        *bottom += 1;
        return false;
    };
    let call = level.arrive(SHORT);
    loop {
        let sent = level.last_of(call);
        let is_handed_on = send_down(below, is_marked, bottom);
        let before = level.sent.len();
        level.pass(0);
        level.answer_error(sent, is_marked && is_handed_on);
        if level.sent.len() == before {
            return true;
        }
    }
}

fn amplification(is_marked: bool) -> f64 {
    let mut levels: Vec<Bench> = (0..13).map(|_| Bench::new(4, 100)).collect();
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
    let mut bench = Bench::with(spec);
    let first = bench.send(SHORT);
    bench.fail(first, Outcome::Shed);
    let second = bench.last_of(first.call);
    bench.fail(second, Outcome::Shed);
    let behind = bench.arrive(SHORT);
    bench.pass(50);
    let third = bench.last_of(first.call);
    bench.answer(third);
    assert!(
        bench.is_sent(behind),
        "a call that has tried every target blocks nobody"
    );
    assert_eq!(bench.delivered, vec![first.call]);
}

#[test]
fn declined_below() {
    let mut bench = Bench::new(2, 3);
    let sent = bench.send(ONCE);
    bench.fail(sent, Outcome::Declined);
    assert_eq!(bench.sent.len(), 1);
    assert_eq!(bench.code_of(sent.call), Some(ResultCode::TargetsRefused));
}

#[test]
fn hedge_wins() {
    let mut bench = Bench::new(3, 3);
    bench.warm_up(60, 5);
    let slow = bench.send(SHORT);
    bench.pass(100);
    let hedge = bench.last_of(slow.call);
    assert_eq!(hedge.kind, AttemptKind::Hedge);
    assert_ne!(hedge.target, slow.target);
    bench.answer(hedge);
    assert_eq!(
        bench.cancelled,
        vec![slow.attempt],
        "the loser is cancelled"
    );
    assert_eq!(bench.delivered.last(), Some(&slow.call));
}

#[test]
fn late_hedge() {
    let mut bench = Bench::new(3, 3);
    bench.warm_up(60, 5);
    let first = bench.send(SHORT);
    bench.pass(50);
    let hedge = bench.last_of(first.call);
    assert_eq!(hedge.kind, AttemptKind::Hedge);
    bench.pass(50);
    assert_eq!(
        bench.cancelled,
        vec![hedge.attempt],
        "work that is long on two targets needs one"
    );
    bench.answer(first);
    assert_eq!(bench.delivered.last(), Some(&first.call));
}

#[test]
fn once_not_hedged() {
    let mut bench = Bench::new(3, 3);
    bench.warm_up(60, 5);
    let sent = bench.send(ONCE);
    bench.pass(500);
    assert_eq!(bench.last_of(sent.call).attempt, sent.attempt);
}

#[test]
fn no_budget() {
    let mut spec = make_spec(3, 3);
    spec.retry_percent = 0;
    spec.hedge_percent = 0;
    let mut bench = Bench::with(spec);
    bench.warm_up(60, 5);
    let sent = bench.send(SHORT);
    bench.pass(100);
    bench.fail(sent, Outcome::Refused);
    assert_eq!(bench.code_of(sent.call), Some(ResultCode::TargetsRefused));
}
