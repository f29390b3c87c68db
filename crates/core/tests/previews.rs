//! Previews of calls, and what the next real call does.

mod common;

use common::{Harness, LONG, SHORT, make_sampled_spec};
use gentianridge_core::{
    Arrival, ClassKind, Obstacle, Preview, PreviewStep, ResultCode, TargetKey,
};
use proptest::prelude::*;
use std::time::Duration;

fn preview(harness: &Harness, class: &str, kind: ClassKind, millis: u64) -> Preview {
    let arrival = Arrival {
        class: harness.get_class(class),
        kind,
        deadline: harness.now + Duration::from_millis(millis),
        time_left: None,
        is_replayable: true,
        workspace: None,
    };
    harness.service.preview(harness.now, arrival)
}

fn get_name(harness: &Harness, target: TargetKey) -> String {
    let spec = harness.service.get_target(target);
    spec.expect("the target is declared").name.to_string()
}

#[test]
fn free_slot() {
    let mut harness = Harness::new(4, 3);
    let expected = preview(&harness, SHORT, ClassKind::Interactive, 1_000);
    assert_eq!(expected.ahead, 0);
    assert_eq!(expected.wait, Duration::ZERO);
    assert!(expected.candidates.iter().all(|c| c.obstacle.is_none()));
    let sent = harness.send(SHORT);
    let PreviewStep::Sent(target) = expected.step else {
        panic!("{expected:?}");
    };
    assert_eq!(target, get_name(&harness, sent.target));
}

#[test]
fn full_service() {
    let mut harness = Harness::new(2, 1);
    for _ in 0..20 {
        if !preview(&harness, SHORT, ClassKind::Interactive, 1_000)
            .candidates
            .iter()
            .any(|candidate| candidate.obstacle.is_none())
        {
            break;
        }
        harness.arrive(SHORT);
    }
    let expected = preview(&harness, SHORT, ClassKind::Interactive, 1_000);
    assert_eq!(expected.step, PreviewStep::Waits);
    assert!(
        expected
            .candidates
            .iter()
            .all(|c| c.obstacle == Some(Obstacle::Full))
    );
    let call = harness.arrive(SHORT);
    assert!(!harness.is_sent(call));
    assert_eq!(
        preview(&harness, SHORT, ClassKind::Interactive, 1_000).ahead,
        1
    );
}

#[test]
fn hopeless_call() {
    let mut harness = Harness::new(2, 1);
    harness.warm_up(40, 50);
    let expected = preview(&harness, SHORT, ClassKind::Interactive, 1);
    let call = harness.arrive_within(SHORT, 1);
    assert_eq!(
        harness.get_code(call).map(PreviewStep::Refused),
        Some(expected.step)
    );
}

#[test]
fn leaving_target() {
    let mut harness = Harness::new(2, 3);
    let sent = harness.send(SHORT);
    harness.set_leaving(sent.target, true);
    let expected = preview(&harness, SHORT, ClassKind::Interactive, 1_000);
    let last = expected.candidates.last().expect("two targets");
    assert_eq!(last.obstacle, Some(Obstacle::Leaving));
    assert_eq!(last.target, get_name(&harness, sent.target));
}

#[test]
fn no_usable_target() {
    let mut harness = Harness::new(1, 3);
    let sent = harness.send(SHORT);
    harness.set_leaving(sent.target, true);
    let expected = preview(&harness, SHORT, ClassKind::Interactive, 1_000);
    assert_eq!(expected.step, PreviewStep::Refused(ResultCode::NoTarget));
}

#[test]
fn outdated_reports() {
    let mut harness = Harness::with_spec(make_sampled_spec(4));
    let expected = preview(&harness, SHORT, ClassKind::Interactive, 4_000);
    assert_eq!(expected.step, PreviewStep::Sampled);
    let call = harness.arrive_within(SHORT, 4_000);
    assert!(!harness.is_sent(call));
    assert!(!harness.sampled.is_empty());
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive(bool),
    Answer(usize),
    Advance(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => any::<bool>().prop_map(Step::Arrive),
        3 => any::<usize>().prop_map(Step::Answer),
        2 => (1_u64..80).prop_map(Step::Advance),
    ]
}

proptest! {
    /// A preview says what the next call gets, and the service is the same after it.
    #[test]
    fn agrees_with_next_call(steps in prop::collection::vec(any_step(), 1..60)) {
        let mut harness = Harness::new(3, 2);
        for step in steps {
            match step {
                Step::Answer(at) if !harness.sent.is_empty() => {
                    let sent = harness.sent[at % harness.sent.len()];
                    harness.answer(sent);
                }
                Step::Answer(_) => {}
                Step::Advance(millis) => harness.advance(millis),
                Step::Arrive(is_long) => {
                    let (class, kind) = if is_long {
                        (LONG, ClassKind::Background)
                    } else {
                        (SHORT, ClassKind::Interactive)
                    };
                    let expected = preview(&harness, class, kind, 1_000);
                    prop_assert_eq!(&preview(&harness, class, kind, 1_000), &expected);
                    let call = harness.arrive_within(class, 1_000);
                    let step = match harness.get_code(call) {
                        Some(code) => PreviewStep::Refused(code),
                        None if harness.is_sent(call) => {
                            let target = harness.get_last_attempt(call).target;
                            PreviewStep::Sent(get_name(&harness, target).into())
                        }
                        None => PreviewStep::Waits,
                    };
                    prop_assert_eq!(step, expected.step);
                }
            }
        }
    }
}
