//! Keys of a service's classes.

mod common;

use common::{Harness, make_spec};
use gentianridge_core::{CallKey, ClassKind, ClassSpec, Outcome, ServiceSpec};

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
fn count_sends(harness: &mut Harness, call: CallKey) -> usize {
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
        classes.push(make_class("once", ClassKind::Once));
        let mut harness = Harness::with_spec(declare(classes));
        let once = harness.service.find_class_by_name("once").expect("a class");
        let call = harness.arrive_within(once, 3_000);
        assert_eq!(count_sends(&mut harness, call), 1, "{extra} other classes");
    }
}
