//! Properties that a service keeps under any order of inputs.

mod common;

use common::{Harness, LONG, ONCE, SHORT, Sent};
use gentianridge_core::Outcome;
use proptest::prelude::*;

/// One input. The positions select among all attempts that were sent, ended ones included.
#[derive(Debug, Clone)]
enum Step {
    Arrive { class: u8, millis: u64 },
    Answer(usize),
    AnswerError(usize),
    Fail(usize, u8),
    Report(usize, u16, bool),
    Cancel(usize),
    Leave(usize, bool),
    Fleet(u16, u16),
    Advance(u64),
    Pause(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_u8..3, 1_u64..2_000).prop_map(|(class, millis)| Step::Arrive { class, millis }),
        4 => any::<usize>().prop_map(Step::Answer),
        1 => any::<usize>().prop_map(Step::AnswerError),
        2 => (any::<usize>(), 0_u8..6).prop_map(|(at, kind)| Step::Fail(at, kind)),
        2 => (any::<usize>(), 0_u16..8, any::<bool>()).prop_map(|(at, n, l)| Step::Report(at, n, l)),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => (0_usize..3, any::<bool>()).prop_map(|(at, leave)| Step::Leave(at, leave)),
        1 => (1_u16..6, 0_u16..6).prop_map(|(vms, rank)| Step::Fleet(vms, rank)),
        3 => (0_u64..50).prop_map(Step::Advance),
        1 => (0_u64..5_000).prop_map(Step::Pause),
    ]
}

fn get_outcome(kind: u8) -> Outcome {
    [
        Outcome::Shed,
        Outcome::Refused,
        Outcome::Broken,
        Outcome::Silent,
        Outcome::TimedOut,
        Outcome::Withdrawn,
    ][usize::from(kind)]
}

/// Selects an attempt. Ended attempts are selected too, so that inputs arrive late and twice.
fn select_attempt(harness: &Harness, at: usize) -> Option<Sent> {
    (!harness.sent.is_empty()).then(|| harness.sent[at % harness.sent.len()])
}

fn apply_step(harness: &mut Harness, step: &Step) {
    match *step {
        Step::Arrive { class, millis } => {
            let class = [SHORT, ONCE, LONG][usize::from(class)];
            harness.arrive_within(class, millis);
        }
        Step::Advance(millis) => harness.advance(millis),
        Step::Pause(millis) => harness.pause(millis),
        Step::Leave(at, is_leaving) => {
            let key = harness
                .service
                .get_target_keys()
                .nth(at)
                .expect("three targets");
            harness.set_leaving(key, is_leaving);
        }
        Step::Fleet(vms, rank) => harness.set_fleet(vms, rank % vms),
        Step::Answer(at)
        | Step::AnswerError(at)
        | Step::Fail(at, _)
        | Step::Report(at, ..)
        | Step::Cancel(at) => {
            if let Some(sent) = select_attempt(harness, at) {
                apply_to_attempt(harness, step, sent);
            }
        }
    }
}

fn apply_to_attempt(harness: &mut Harness, step: &Step, sent: Sent) {
    match *step {
        Step::Answer(_) => harness.answer(sent),
        Step::AnswerError(_) => harness.answer_error(sent, false),
        Step::Fail(_, kind) => harness.fail(sent, get_outcome(kind)),
        Step::Report(_, in_flight, is_leaving) => harness.report(sent, in_flight, is_leaving),
        Step::Cancel(_) => harness.cancel(sent.call),
        _ => {}
    }
}

fn check_in_flight(harness: &Harness) {
    for key in harness.service.get_target_keys() {
        let own = harness.service.get_in_flight(key);
        assert!(own <= 3, "{own} attempts on a target with 3 slots");
    }
}

fn check_single_end(harness: &Harness) {
    let mut ended: Vec<_> = harness.delivered.clone();
    ended.extend(harness.refused.iter().map(|(call, _)| *call));
    let total = ended.len();
    ended.sort();
    ended.dedup();
    assert_eq!(ended.len(), total, "a call ended twice");
}

fn check_budgets(harness: &Harness) {
    let counters = harness.service.get_counters();
    assert!(counters.retries <= counters.first_attempts / 10 + 10);
    assert!(counters.hedges <= counters.first_attempts / 20 + 10 + counters.ejections * 40);
}

fn check_attempts_per_call(harness: &Harness) {
    for sent in &harness.sent {
        let attempts = harness
            .sent
            .iter()
            .filter(|other| other.call == sent.call && !harness.withdrawn.contains(&other.attempt));
        assert!(
            attempts.count() <= 4,
            "a call was sent more than four times"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn invariants_hold(steps in prop::collection::vec(any_step(), 1..250)) {
        let mut harness = Harness::new(3, 3);
        for step in &steps {
            apply_step(&mut harness, step);
            check_in_flight(&harness);
        }
        check_single_end(&harness);
        check_budgets(&harness);
        check_attempts_per_call(&harness);
    }

    #[test]
    fn invariants_hold_in_stop(
        before in prop::collection::vec(any_step(), 1..80),
        millis in 0_u64..3_000,
        after in prop::collection::vec(any_step(), 1..80),
    ) {
        let mut harness = Harness::new(3, 3);
        for step in &before {
            apply_step(&mut harness, step);
        }
        harness.stop(millis);
        for step in &after {
            apply_step(&mut harness, step);
            check_in_flight(&harness);
        }
        check_single_end(&harness);
        check_budgets(&harness);
        check_attempts_per_call(&harness);
    }

    #[test]
    fn all_calls_end(steps in prop::collection::vec(any_step(), 1..250)) {
        let mut harness = Harness::new(3, 3);
        for step in &steps {
            apply_step(&mut harness, step);
        }
        // The process fails every attempt at its deadline and calls `tick` on time.
        for _ in 0..20 {
            harness.advance(3_000);
            for sent in harness.sent.clone() {
                harness.fail(sent, Outcome::TimedOut);
            }
        }
        prop_assert_eq!(harness.service.count_waiting(), 0);
        prop_assert_eq!(harness.service.count_calls(), 0);
        prop_assert_eq!(harness.service.count_attempts(), 0);
        for key in harness.service.get_target_keys() {
            prop_assert_eq!(harness.service.get_in_flight(key), 0);
        }
    }

    #[test]
    fn reserve_available(longs in 1_usize..80, vms in 1_u16..6) {
        let mut harness = Harness::new(6, 3);
        harness.set_fleet(vms, 0);
        harness.warm_up(30, 5);
        for _ in 0..longs {
            harness.arrive(LONG);
        }
        for _ in 0..6 {
            let call = harness.arrive(SHORT);
            prop_assert!(harness.is_sent(call), "the reserve of 6 slots is available to interactive calls");
        }
    }
}
