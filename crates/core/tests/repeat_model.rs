//! A model of the fleet's limit on repeats. Every first attempt is shed, and VMs receive
//! requests at any time, are replaced and do not exchange messages.

mod common;

use common::{Harness, REPEAT_LIMIT};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::time::{Duration, Instant};

const VMS: usize = 5;

#[derive(Debug, Clone)]
enum Transition {
    /// Requests arrive at a VM, and the first attempt of each is shed.
    Requests { vm: usize, count: usize },
    /// The clock advances.
    Advance { millis: u64 },
    /// A VM is replaced by one that starts without the count of repeats so far.
    Replace { vm: usize },
}

/// The clock, and the time of the last replacement of each VM.
#[derive(Debug, Clone)]
struct Fleet {
    now: Duration,
    replaced: [Option<Duration>; VMS],
}

impl ReferenceStateMachine for Fleet {
    type State = Fleet;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Fleet> {
        Just(Fleet {
            now: Duration::ZERO,
            replaced: [None; VMS],
        })
        .boxed()
    }

    fn transitions(_: &Fleet) -> BoxedStrategy<Transition> {
        prop_oneof![
            6 => (0..VMS, 1usize..30).prop_map(|(vm, count)| Transition::Requests { vm, count }),
            4 => (1u64..2_500).prop_map(|millis| Transition::Advance { millis }),
            1 => (0..VMS).prop_map(|vm| Transition::Replace { vm }),
        ]
        .boxed()
    }

    /// The division of the limit allows for one replacement of each VM in a window.
    fn preconditions(fleet: &Fleet, transition: &Transition) -> bool {
        match transition {
            Transition::Replace { vm } => fleet.replaced[*vm]
                .is_none_or(|at| fleet.now.saturating_sub(at) > REPEAT_LIMIT.window),
            Transition::Requests { .. } | Transition::Advance { .. } => true,
        }
    }

    fn apply(mut fleet: Fleet, transition: &Transition) -> Fleet {
        match transition {
            Transition::Advance { millis } => fleet.now += Duration::from_millis(*millis),
            Transition::Replace { vm } => fleet.replaced[*vm] = Some(fleet.now),
            Transition::Requests { .. } => {}
        }
        fleet
    }
}

struct Daemons {
    start: Instant,
    vms: Vec<Harness>,
    firsts: Vec<Duration>,
    repeats: Vec<Duration>,
}

struct RepeatModel;

impl StateMachineTest for RepeatModel {
    type SystemUnderTest = Daemons;
    type Reference = Fleet;

    fn init_test(_: &Fleet) -> Daemons {
        Daemons {
            start: Instant::now(),
            vms: (0..VMS)
                .map(|_| Harness::with_repeat_limit(VMS as u16))
                .collect(),
            firsts: Vec::new(),
            repeats: Vec::new(),
        }
    }

    fn apply(mut daemons: Daemons, fleet: &Fleet, transition: Transition) -> Daemons {
        match transition {
            Transition::Requests { vm, count } => {
                let harness = &mut daemons.vms[vm];
                harness.now = daemons.start + fleet.now;
                for _ in 0..count {
                    let Some(repeats) = harness.try_send_and_shed() else {
                        continue;
                    };
                    daemons.firsts.push(fleet.now);
                    daemons
                        .repeats
                        .extend(std::iter::repeat_n(fleet.now, repeats));
                }
            }
            Transition::Replace { vm } => daemons.vms[vm] = Harness::with_repeat_limit(VMS as u16),
            Transition::Advance { .. } => {}
        }
        daemons
    }

    /// No window of the limit's length has more repeats than the limit allows.
    fn check_invariants(daemons: &Daemons, _: &Fleet) {
        let Some(end) = daemons.repeats.last().copied() else {
            return;
        };
        let is_within = |at: &&Duration| end.saturating_sub(**at) < REPEAT_LIMIT.window;
        let repeat_count = daemons.repeats.iter().filter(is_within).count();
        let first_count = daemons.firsts.iter().filter(is_within).count();
        let allowed = f64::from(REPEAT_LIMIT.percent) / 100.0 * first_count as f64
            + f64::from(REPEAT_LIMIT.extra);
        assert!(
            repeat_count as f64 <= allowed,
            "{repeat_count} repeats of {first_count} requests"
        );
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    })]

    #[test]
    fn repeats_within_limit(sequential 1..80 => RepeatModel);
}
