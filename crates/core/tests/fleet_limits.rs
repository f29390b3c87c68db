//! Repeats within the fleet's limit, and objectives.

mod common;

use common::{Bench, LIMIT, ONCE, SHORT, make_spec};
use gentianridge_core::ResultCode;
use std::time::{Duration, Instant};

#[test]
fn every_window() {
    let mut vms: Vec<Bench> = (0..5).map(|_| Bench::limited(5)).collect();
    let start = Instant::now();
    let mut repeats: Vec<Instant> = Vec::new();
    let mut firsts: Vec<Instant> = Vec::new();
    for step in 0..3_000 {
        let bench = &mut vms[step % 5];
        bench.now = start + Duration::from_millis(10 * step as u64);
        let now = bench.now;
        firsts.push(now);
        repeats.extend(std::iter::repeat_n(now, bench.shed_one()));
    }
    for end in &repeats {
        let is_within = |at: &&Instant| **at <= *end && *end - **at < LIMIT.window;
        let spent = repeats.iter().filter(is_within).count();
        let asked = firsts.iter().filter(is_within).count();
        assert!(
            spent as f64 <= 0.2 * asked as f64 + 56.0,
            "{spent} of {asked}"
        );
    }
    assert!(repeats.len() > 300, "the limit is there to be used");
}

/// Each VM is replaced once by one that does not know what was spent.
#[test]
fn replaced_vms() {
    let mut spent = 0;
    for round in 0..2 {
        for _ in 0..5 {
            let mut bench = Bench::limited(5);
            bench.now += Duration::from_millis(round);
            for _ in 0..5 {
                spent += bench.shed_one();
            }
        }
    }
    assert!(spent as f64 <= 0.2 * 50.0 + 56.0, "{spent} repeats");
}

#[test]
fn unknown_fleet() {
    let mut spec = make_spec(6, 50);
    spec.repeats = Some(LIMIT);
    let mut bench = Bench::with(spec);
    let spent: usize = (0..10).map(|_| bench.shed_one()).sum();
    assert!(spent <= 3, "a VM that knows no peer is careful: {spent}");
}

#[test]
fn own_domain() {
    let mut spec = make_spec(4, 3);
    for (index, target) in spec.targets.iter_mut().enumerate() {
        target.domain = if index == 2 { "near" } else { "far" }.into();
    }
    let mut bench = Bench::with(spec);
    bench.service.set_location(&"vm".into(), "near".into());
    let targets: Vec<usize> = (0..4)
        .map(|_| bench.send(SHORT).target.get_index())
        .collect();
    assert_eq!(targets[0], 2);
    assert!(
        targets.iter().any(|target| *target != 2),
        "a full target is left"
    );
}

/// A call is refused at once when it cannot be answered within its objective,
/// though its deadline is far.
#[test]
fn objective_bounds_the_wait() {
    let mut spec = make_spec(1, 1);
    for class in &mut spec.classes {
        class.deadline = Duration::from_secs(4);
        class.objective = Some(Duration::from_millis(600));
    }
    let mut bench = Bench::with(spec);
    bench.warm_up(30, 190);
    bench.send(SHORT);
    let codes: Vec<Option<ResultCode>> = (0..6)
        .map(|_| {
            let call = bench.arrive_within(SHORT, 4_000);
            bench.code_of(call)
        })
        .collect();
    assert_eq!(codes[0], None, "the first one can wait");
    assert_eq!(codes[5], Some(ResultCode::DeadlineUnreachable));
}

#[test]
fn priority_first() {
    let mut spec = make_spec(1, 1);
    spec.classes[SHORT_INDEX].priority = 2;
    spec.classes[ONCE_INDEX].priority = 1;
    let mut bench = Bench::with(spec);
    let first = bench.send(SHORT);
    let plain = bench.arrive_within(SHORT, 400);
    let urgent = bench.arrive_within(ONCE, 900);
    bench.answer(first);
    assert!(bench.is_sent(urgent));
    assert!(!bench.is_sent(plain));
}

const SHORT_INDEX: usize = 0;
const ONCE_INDEX: usize = 1;
