//! Calls while the VM stops: those that cannot be completed in the time left are refused.

mod common;

use common::{Harness, LONG, ONCE, SHORT};
use gentianridge_core::{Outcome, ResultCode, StopSchedule};
use proptest::prelude::*;
use std::time::{Duration, Instant};

/// Answer time that [`make_harness`] records for every class, in milliseconds.
const ANSWER_MS: u64 = 100;

/// Returns a service with two targets that has recorded its usual answer times.
fn make_harness() -> Harness {
    let mut harness = Harness::new(2, 2);
    for class in [SHORT, ONCE, LONG] {
        for _ in 0..40 {
            let sent = harness.send(class);
            harness.advance(ANSWER_MS);
            harness.answer(sent);
        }
    }
    harness
}

#[test]
fn call_without_time_left_refused() {
    let mut harness = make_harness();
    harness.stop(1_000);
    for class in [SHORT, ONCE, LONG] {
        let call = harness.arrive_within(class, 5_000);
        assert!(harness.is_sent(call), "there is time for a usual run");
        harness.answer(harness.get_last_attempt(call));
    }
    harness.advance(950);
    for class in [SHORT, ONCE, LONG] {
        let call = harness.arrive_within(class, 5_000);
        assert!(!harness.is_sent(call));
        assert_eq!(harness.get_code(call), Some(ResultCode::Stopping));
    }
}

/// A call is not started if slow runs of its class would be aborted.
#[test]
fn time_for_slow_runs() {
    let mut harness = make_harness();
    // Three of a hundred runs take seven times as long as the others.
    for _ in 0..6 {
        let sent = harness.send(ONCE);
        harness.advance(ANSWER_MS * 7);
        harness.answer(sent);
        for _ in 0..10 {
            let sent = harness.send(ONCE);
            harness.advance(ANSWER_MS);
            harness.answer(sent);
        }
    }
    harness.stop(600);
    let once = harness.arrive_within(ONCE, 5_000);
    assert_eq!(harness.get_code(once), Some(ResultCode::Stopping));
    let short = harness.arrive_within(SHORT, 5_000);
    assert!(harness.is_sent(short));
}

/// A call whose own deadline is earlier than the end of the stop is served as usual.
#[test]
fn early_deadline_unaffected() {
    let mut harness = make_harness();
    harness.stop(1_000);
    harness.advance(500);
    let call = harness.arrive_within(ONCE, 400);
    assert!(harness.is_sent(call));
}

/// Calls that waited before the stop are refused when they can no longer be completed,
/// not at their own deadline.
#[test]
fn waiting_call_refused_in_time() {
    let mut harness = make_harness();
    let running: Vec<_> = (0..4).map(|_| harness.send(ONCE)).collect();
    let waiting = harness.arrive_within(SHORT, 5_000);
    assert!(!harness.is_sent(waiting));
    harness.stop(1_000);
    harness.advance(500);
    assert_eq!(harness.get_code(waiting), None);
    harness.advance(450);
    assert_eq!(harness.get_code(waiting), Some(ResultCode::Stopping));
    harness.answer(running[0]);
    assert!(!harness.is_sent(waiting));
}

#[test]
fn no_repeat_without_time_left() {
    let mut harness = make_harness();
    let (shed, late) = (harness.send(ONCE), harness.send(SHORT));
    harness.stop(100);
    let sent = harness.sent.len();
    harness.advance(90);
    harness.fail(shed, Outcome::Shed);
    harness.advance(200);
    assert_eq!(harness.sent.len(), sent, "neither a retry nor a hedge");
    assert_eq!(
        harness.get_code(shed.call),
        Some(ResultCode::TargetsRefused)
    );
    harness.answer(late);
    assert!(harness.delivered.contains(&late.call));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// No call waits and no attempt starts after the end of the stop.
    #[test]
    fn nothing_starts_after_end(
        arrivals in prop::collection::vec((0_usize..3, 1_u64..4_000, 0_u64..120), 1..60),
        stop_at in 0_usize..60,
        end_ms in 0_u64..2_000,
    ) {
        let mut harness = make_harness();
        let mut end = None;
        for (index, (class, millis, pause)) in arrivals.into_iter().enumerate() {
            if index == stop_at {
                harness.stop(end_ms);
                end = Some(harness.now + Duration::from_millis(end_ms));
            }
            harness.advance(pause);
            let sent = harness.sent.len();
            harness.arrive_within([SHORT, ONCE, LONG][class], millis);
            if end.is_some_and(|end| harness.now >= end) {
                prop_assert_eq!(harness.sent.len(), sent);
                prop_assert_eq!(harness.service.count_waiting(), 0);
            }
        }
    }

    /// The steps of a stop are in order and end before the kill, for any grace time.
    #[test]
    fn schedule_in_order(grace_ms in 0_u64..600_000) {
        let now = Instant::now();
        let grace = Duration::from_millis(grace_ms);
        let stop = StopSchedule::new(now, grace);
        let steps = [now, stop.work_until, stop.answer_until, stop.exit, now + grace];
        prop_assert!(steps.is_sorted(), "{steps:?}");
        prop_assert!(now <= stop.close_idle && stop.close_idle <= stop.answer_until);
    }
}
