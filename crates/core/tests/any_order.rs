//! Properties of a service under any order of inputs.

mod common;

use common::{Bench, LONG, ONCE, SHORT, Sent};
use gentianridge_core::Outcome;
use proptest::prelude::*;

/// One input; positions select among what is in flight or was.
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
    Pass(u64),
    Pause(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_u8..3, 1_u64..2_000).prop_map(|(class, millis)| Step::Arrive { class, millis }),
        4 => any::<usize>().prop_map(Step::Answer),
        1 => any::<usize>().prop_map(Step::AnswerError),
        2 => (any::<usize>(), 0_u8..6).prop_map(|(at, kind)| Step::Fail(at, kind)),
        2 => (any::<usize>(), 0_u16..8, any::<bool>()).prop_map(|(at, n, l)| Step::Report(at, n, l)),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => (0_usize..3, any::<bool>()).prop_map(|(at, leave)| Step::Leave(at, leave)),
        1 => (1_u16..6, 0_u16..6).prop_map(|(vms, rank)| Step::Fleet(vms, rank)),
        3 => (0_u64..50).prop_map(Step::Pass),
        1 => (0_u64..5_000).prop_map(Step::Pause),
    ]
}

fn outcome(kind: u8) -> Outcome {
    [
        Outcome::Shed,
        Outcome::Refused,
        Outcome::Broken,
        Outcome::Silent,
        Outcome::TimedOut,
        Outcome::Withdrawn,
    ][usize::from(kind)]
}

/// Old attempts are picked too, so inputs arrive late and twice.
fn select(bench: &Bench, at: usize) -> Option<Sent> {
    (!bench.sent.is_empty()).then(|| bench.sent[at % bench.sent.len()])
}

fn run(bench: &mut Bench, step: &Step) {
    match *step {
        Step::Arrive { class, millis } => {
            let class = [SHORT, ONCE, LONG][usize::from(class)];
            bench.arrive_within(class, millis);
        }
        Step::Pass(millis) => bench.pass(millis),
        Step::Pause(millis) => bench.pause(millis),
        Step::Leave(at, is_leaving) => {
            let key = bench
                .service
                .get_target_keys()
                .nth(at)
                .expect("three targets");
            bench.set_leaving(key, is_leaving);
        }
        Step::Fleet(vms, rank) => bench.set_fleet(vms, rank % vms),
        Step::Answer(at)
        | Step::AnswerError(at)
        | Step::Fail(at, _)
        | Step::Report(at, ..)
        | Step::Cancel(at) => {
            if let Some(sent) = select(bench, at) {
                run_on(bench, step, sent);
            }
        }
    }
}

fn run_on(bench: &mut Bench, step: &Step, sent: Sent) {
    match *step {
        Step::Answer(_) => bench.answer(sent),
        Step::AnswerError(_) => bench.answer_error(sent, false),
        Step::Fail(_, kind) => bench.fail(sent, outcome(kind)),
        Step::Report(_, in_flight, is_leaving) => bench.report(sent, in_flight, is_leaving),
        Step::Cancel(_) => bench.cancel(sent.call),
        _ => {}
    }
}

fn check_slots(bench: &Bench) {
    for key in bench.service.get_target_keys() {
        let own = bench.service.get_in_flight(key);
        assert!(own <= 3, "{own} attempts on a target with 3 slots");
    }
}

fn check_ends(bench: &Bench) {
    let mut ended: Vec<_> = bench.delivered.clone();
    ended.extend(bench.refused.iter().map(|(call, _)| *call));
    let total = ended.len();
    ended.sort();
    ended.dedup();
    assert_eq!(ended.len(), total, "a call ended twice");
}

fn check_budgets(bench: &Bench) {
    let counters = bench.service.get_counters();
    assert!(counters.retries <= counters.first_attempts / 10 + 10);
    assert!(counters.hedges <= counters.first_attempts / 20 + 10 + counters.ejections * 40);
}

fn check_attempts(bench: &Bench) {
    for sent in &bench.sent {
        let attempts = bench.sent.iter().filter(|other| other.call == sent.call);
        assert!(
            attempts.count() <= 4,
            "a call was sent more than four times"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn invariants(steps in prop::collection::vec(step(), 1..250)) {
        let mut bench = Bench::new(3, 3);
        for step in &steps {
            run(&mut bench, step);
            check_slots(&bench);
        }
        check_ends(&bench);
        check_budgets(&bench);
        check_attempts(&bench);
    }

    #[test]
    fn all_end(steps in prop::collection::vec(step(), 1..250)) {
        let mut bench = Bench::new(3, 3);
        for step in &steps {
            run(&mut bench, step);
        }
        // The process ends every attempt at its deadline and ticks on time.
        for _ in 0..20 {
            bench.pass(3_000);
            for sent in bench.sent.clone() {
                bench.fail(sent, Outcome::TimedOut);
            }
        }
        prop_assert_eq!(bench.service.count_waiting(), 0);
        prop_assert_eq!(bench.service.count_calls(), 0);
        prop_assert_eq!(bench.service.count_attempts(), 0);
        for key in bench.service.get_target_keys() {
            prop_assert_eq!(bench.service.get_in_flight(key), 0);
        }
    }

    #[test]
    fn reserve_there(longs in 1_usize..80, vms in 1_u16..6) {
        let mut bench = Bench::new(6, 3);
        bench.set_fleet(vms, 0);
        bench.warm_up(30, 5);
        for _ in 0..longs {
            bench.arrive(LONG);
        }
        for _ in 0..6 {
            let call = bench.arrive(SHORT);
            prop_assert!(bench.is_sent(call), "the reserve of 6 slots is there when called");
        }
    }
}
