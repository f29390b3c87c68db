//! Classes of a service that change while requests keep their keys.

mod common;

use common::{Harness, ONCE, SHORT, make_spec};
use gentianridge_core::{ClassKey, ClassKind, ClassSpec, Outcome, ResultCode, ServiceSpec};
use proptest::prelude::*;

/// Time in milliseconds after which an unanswered attempt of an idempotent call is hedged.
const LATE_MS: u64 = 500;

fn make_class(name: &str, kind: ClassKind) -> ClassSpec {
    ClassSpec {
        name: name.into(),
        kind,
        reserve: 0,
        ..make_spec(1, 1).classes[0].clone()
    }
}

fn declare(classes: Vec<ClassSpec>) -> ServiceSpec {
    ServiceSpec {
        classes,
        ..make_spec(4, 3)
    }
}

/// Returns the number of attempts of a call after its first one was late or lost.
fn count_sends(harness: &mut Harness, call: gentianridge_core::CallKey) -> usize {
    harness.advance(LATE_MS);
    harness.advance(LATE_MS);
    let last = harness.get_last_attempt(call);
    harness.fail(last, Outcome::Broken);
    harness.sent.iter().filter(|sent| sent.call == call).count()
}

/// Guards against once-only calls that run twice because a service has more classes than
/// a key can count.
#[test]
fn once_beside_many_classes() {
    for extra in [1, 255, 256, 300, 1_000] {
        let mut classes: Vec<ClassSpec> = (0..extra)
            .map(|index| make_class(&format!("a{index:04}"), ClassKind::Interactive))
            .collect();
        classes.push(make_class(ONCE, ClassKind::Once));
        let mut harness = Harness::with_spec(declare(classes));
        let call = harness.arrive_within(ONCE, 3_000);
        assert_eq!(count_sends(&mut harness, call), 1, "{extra} other classes");
    }
}

/// Guards against once-only calls that run twice because a change of the declaration gave
/// their key to an idempotent class while their body arrived.
#[test]
fn key_kept_over_change() {
    let first = vec![
        make_class("b", ClassKind::Interactive),
        make_class("once", ClassKind::Once),
    ];
    let mut harness = Harness::with_spec(declare(first.clone()));
    let once = harness.get_class(ONCE);
    let mut second = first;
    second.insert(0, make_class("a", ClassKind::Interactive));
    harness.apply(declare(second));
    assert_eq!(harness.get_class(ONCE), once);
    let call = harness.arrive_with_key(once, 3_000);
    assert_eq!(count_sends(&mut harness, call), 1);
}

/// Guards against a panic, and a call of another kind, if a class is removed while the
/// caller sends its request.
#[test]
fn key_of_removed_class() {
    let first = vec![
        make_class("once-a", ClassKind::Once),
        make_class("once-b", ClassKind::Once),
        make_class("short", ClassKind::Interactive),
    ];
    let mut harness = Harness::with_spec(declare(first.clone()));
    let removed = harness.get_class("once-b");
    harness.apply(declare(vec![first[2].clone(), first[0].clone()]));
    assert!(harness.service.get_class(removed).is_none());
    let call = harness.arrive_with_kind(removed, ClassKind::Once, 3_000);
    assert_eq!(count_sends(&mut harness, call), 1);
    // Without any class of the kind, the call is refused.
    harness.apply(declare(vec![first[2].clone()]));
    let call = harness.arrive_with_kind(removed, ClassKind::Once, 3_000);
    assert!(!harness.is_sent(call));
    assert_eq!(harness.get_code(call), Some(ResultCode::NoService));
    // The estimate for the `Retry-After` of such a call.
    let now = harness.now;
    assert!(
        !harness
            .service
            .estimate_capacity_wait(now, removed)
            .is_zero()
    );
    assert_eq!(harness.service.count_waiting_in_class(removed), 0);
}

/// A class that changes its kind is another class: calls that were accepted under the old
/// kind keep it.
#[test]
fn changed_kind() {
    let mut harness = Harness::with_spec(declare(vec![make_class("x", ClassKind::Once)]));
    let old = harness.get_class("x");
    let running = harness.send("x");
    harness.apply(declare(vec![make_class("x", ClassKind::Interactive)]));
    assert_ne!(harness.get_class("x"), old);
    assert_eq!(count_sends(&mut harness, running.call), 1);
}

/// Calls of a removed class are served to their end, and the class is dropped after them.
#[test]
fn removed_class_served() {
    let classes = vec![
        make_class("x", ClassKind::Interactive),
        make_class("y", ClassKind::Interactive),
    ];
    let mut harness = Harness::with_spec(declare(classes.clone()));
    let removed = harness.get_class("y");
    let running: Vec<_> = (0..12).map(|_| harness.send("x")).collect();
    let waiting = harness.arrive("y");
    let remaining = declare(classes[..1].to_vec());
    harness.apply(remaining.clone());
    assert!(harness.service.find_class_by_name("y").is_none());
    assert_eq!(harness.service.count_waiting_in_class(removed), 1);
    harness.advance(10);
    harness.answer(running[0]);
    let sent = harness.get_last_attempt(waiting);
    harness.answer(sent);
    assert!(harness.delivered.contains(&waiting));
    harness.apply(remaining);
    assert!(harness.service.get_class(removed).is_none());
}

/// A change of the list of classes keeps the learned answer times of the others.
#[test]
fn learned_times_kept() {
    let mut harness = Harness::new(2, 3);
    harness.warm_up(40, 80);
    let before = harness
        .service
        .estimate_capacity_wait(harness.now, harness.get_class(SHORT));
    let mut spec = make_spec(2, 3);
    spec.classes
        .insert(0, make_class("a", ClassKind::Interactive));
    harness.apply(spec);
    let after = harness
        .service
        .estimate_capacity_wait(harness.now, harness.get_class(SHORT));
    assert_eq!(after, before);
}

#[derive(Debug, Clone)]
enum Step {
    /// Declares the classes whose bits are set.
    Declare(u16),
    Arrive(usize),
    /// Arrives with a key that was read earlier.
    ArriveLate(usize),
    Lose(usize),
    Shed(usize),
    Answer(usize),
    Advance(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => any::<u16>().prop_map(Step::Declare),
        4 => any::<usize>().prop_map(Step::Arrive),
        3 => any::<usize>().prop_map(Step::ArriveLate),
        1 => any::<usize>().prop_map(Step::Lose),
        1 => any::<usize>().prop_map(Step::Shed),
        2 => any::<usize>().prop_map(Step::Answer),
        3 => (0_u64..400).prop_map(Step::Advance),
    ]
}

/// Twelve classes; every third one is of kind once.
fn declare_bits(bits: u16) -> ServiceSpec {
    let classes = (0..12)
        .filter(|index| bits & (1 << index) != 0)
        .map(|index| {
            let kind = match index % 3 {
                0 => ClassKind::Once,
                _ => ClassKind::Interactive,
            };
            make_class(&format!("c{index:02}"), kind)
        })
        .collect();
    declare(classes)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// However the classes change, a once-only call is sent again only after an attempt
    /// that did not run.
    #[test]
    fn once_under_any_change(steps in prop::collection::vec(any_step(), 1..150)) {
        let mut harness = Harness::with_spec(declare_bits(u16::MAX));
        let mut keys: Vec<(ClassKey, ClassKind)> = Vec::new();
        let mut once = Vec::new();
        let mut not_run = Vec::new();
        for step in steps {
            match step {
                Step::Declare(bits) => harness.apply(declare_bits(bits)),
                Step::Arrive(at) => {
                    let declared: Vec<ClassKey> = harness.service.get_class_keys().collect();
                    if let Some(key) = declared.get(at % declared.len().max(1)) {
                        let kind = harness.service.get_class(*key).expect("declared").kind;
                        keys.push((*key, kind));
                        let call = harness.arrive_with_kind(*key, kind, 2_000);
                        once.extend((kind == ClassKind::Once).then_some(call));
                    }
                }
                Step::ArriveLate(at) => {
                    if let Some((key, kind)) = keys.get(at % keys.len().max(1)).copied() {
                        let call = harness.arrive_with_kind(key, kind, 2_000);
                        once.extend((kind == ClassKind::Once).then_some(call));
                    }
                }
                Step::Advance(millis) => harness.advance(millis),
                Step::Lose(at) | Step::Shed(at) | Step::Answer(at) => {
                    if harness.sent.is_empty() {
                        continue;
                    }
                    let sent = harness.sent[at % harness.sent.len()];
                    let is_open = !harness.delivered.contains(&sent.call)
                        && harness.get_code(sent.call).is_none()
                        && !not_run.contains(&sent.attempt);
                    match step {
                        Step::Lose(_) => harness.fail(sent, Outcome::Broken),
                        Step::Shed(_) if is_open => {
                            not_run.push(sent.attempt);
                            harness.fail(sent, Outcome::Shed);
                        }
                        _ => harness.answer(sent),
                    }
                }
            }
            for call in &once {
                let may_have_run = harness
                    .sent
                    .iter()
                    .filter(|sent| sent.call == *call && !not_run.contains(&sent.attempt));
                prop_assert!(may_have_run.count() <= 1);
            }
        }
    }
}
