//! Limits on repeats in a fleet, and the choice of calls and targets by domain, objective
//! and priority.

mod common;

use common::{Harness, ONCE, REPEAT_LIMIT, SHORT, make_spec};
use gentianridge_core::ResultCode;
use std::time::{Duration, Instant};

#[test]
fn limit_every_window() {
    let mut vms: Vec<Harness> = (0..5).map(|_| Harness::with_repeat_limit(5)).collect();
    let start = Instant::now();
    let mut repeats: Vec<Instant> = Vec::new();
    let mut firsts: Vec<Instant> = Vec::new();
    for step in 0..3_000 {
        let harness = &mut vms[step % 5];
        harness.now = start + Duration::from_millis(10 * step as u64);
        let now = harness.now;
        firsts.push(now);
        repeats.extend(std::iter::repeat_n(now, harness.send_and_shed()));
    }
    for end in &repeats {
        let is_within = |at: &&Instant| **at <= *end && *end - **at < REPEAT_LIMIT.window;
        let repeat_count = repeats.iter().filter(is_within).count();
        let first_count = firsts.iter().filter(is_within).count();
        assert!(
            repeat_count as f64 <= 0.2 * first_count as f64 + 56.0,
            "{repeat_count} repeats of {first_count} requests"
        );
    }
    assert!(repeats.len() > 300, "repeats within the limit are allowed");
}

/// Attempts begin to fail a quarter of a window after the traffic has risen, so that windows
/// which hold the same repeats hold fewer and fewer requests once it has fallen. The requests
/// of a window count as the limit counts them: its own, or those half a window or a window
/// earlier.
#[test]
fn falling_traffic() {
    let mut vms: Vec<Harness> = (0..5).map(|_| Harness::with_repeat_limit(5)).collect();
    let start = Instant::now();
    let mut firsts: Vec<Instant> = Vec::new();
    let mut repeats: Vec<Instant> = Vec::new();
    for step in 0..30_000_u64 {
        let at = Duration::from_millis(step);
        let period = if (10_000..20_000).contains(&step) {
            10
        } else {
            500
        };
        if step % period != 0 {
            continue;
        }
        let harness = &mut vms[(step / period % 5) as usize];
        harness.now = start + at;
        firsts.push(harness.now);
        let is_failing = (12_500..24_000).contains(&step);
        if is_failing {
            let sheds = harness.try_send_and_shed().unwrap_or_default();
            repeats.extend(std::iter::repeat_n(harness.now, sheds));
        } else {
            let sent = harness.send(SHORT);
            harness.answer(sent);
        }
    }
    let window = REPEAT_LIMIT.window;
    let count = |times: &[Instant], from: Instant, to: Instant| {
        times.iter().filter(|at| from <= **at && **at < to).count()
    };
    for begin in repeats.iter().copied() {
        let end = begin + window;
        let requests = [
            count(&firsts, begin, end),
            count(&firsts, begin - window / 2, end - window / 2),
            count(&firsts, begin - window, begin),
        ];
        let most = requests.into_iter().max().unwrap_or_default();
        let found = count(&repeats, begin, end);
        assert!(
            found as f64 <= 0.2 * most as f64 + f64::from(REPEAT_LIMIT.extra),
            "{found} repeats of {requests:?} requests {:?} after the start",
            begin - start
        );
    }
    assert!(repeats.len() > 100, "{} repeats", repeats.len());
}

/// Each VM is replaced once by a VM that starts without the count of repeats so far.
#[test]
fn replaced_vms() {
    let mut repeats = 0;
    for round in 0..2 {
        for _ in 0..5 {
            let mut harness = Harness::with_repeat_limit(5);
            harness.now += Duration::from_millis(round);
            for _ in 0..5 {
                repeats += harness.send_and_shed();
            }
        }
    }
    assert!(repeats as f64 <= 0.2 * 50.0 + 56.0, "{repeats} repeats");
}

#[test]
fn unknown_fleet() {
    let mut spec = make_spec(6, 50);
    spec.repeats = Some(REPEAT_LIMIT);
    let mut harness = Harness::with_spec(spec);
    let repeats: usize = (0..10).map(|_| harness.send_and_shed()).sum();
    assert!(
        repeats <= 3,
        "a VM without a view of its peers made {repeats} repeats"
    );
}

#[test]
fn own_domain_first() {
    let mut spec = make_spec(4, 3);
    for (index, target) in spec.targets.iter_mut().enumerate() {
        target.domain = if index == 2 { "near" } else { "far" }.into();
    }
    let mut harness = Harness::with_spec(spec);
    harness.service.set_location(&"vm".into(), "near".into());
    let targets: Vec<usize> = (0..4)
        .map(|_| harness.send(SHORT).target.get_index())
        .collect();
    assert_eq!(targets[0], 2);
    assert!(
        targets.iter().any(|target| *target != 2),
        "calls go to another domain when the target is full"
    );
}

/// A call is refused at once when it cannot be answered within its objective, even if its
/// deadline is far.
#[test]
fn objective_bounds_wait() {
    let mut spec = make_spec(1, 1);
    for class in &mut spec.classes {
        class.deadline = Duration::from_secs(4);
        class.objective = Some(Duration::from_millis(600));
    }
    let mut harness = Harness::with_spec(spec);
    harness.warm_up(30, 190);
    harness.send(SHORT);
    let codes: Vec<Option<ResultCode>> = (0..6)
        .map(|_| {
            let call = harness.arrive_within(SHORT, 4_000);
            harness.get_code(call)
        })
        .collect();
    assert_eq!(
        codes[0], None,
        "the first call can wait within the objective"
    );
    assert_eq!(codes[5], Some(ResultCode::DeadlineUnreachable));
}

#[test]
fn priority_first() {
    let mut spec = make_spec(1, 1);
    spec.classes[SHORT_INDEX].priority = 2;
    spec.classes[ONCE_INDEX].priority = 1;
    let mut harness = Harness::with_spec(spec);
    let first = harness.send(SHORT);
    let low_priority = harness.arrive_within(SHORT, 400);
    let high_priority = harness.arrive_within(ONCE, 900);
    harness.answer(first);
    assert!(harness.is_sent(high_priority));
    assert!(!harness.is_sent(low_priority));
}

const SHORT_INDEX: usize = 0;
const ONCE_INDEX: usize = 1;
