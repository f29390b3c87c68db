//! The plan of a run: its steps, drawn from a seed.

use super::LinkFault;
use super::keys::{REVOKE, WITHDRAWABLE_KEYS, is_keyed};
use crate::{StoreFault, TargetBehavior};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// Number of VMs in a run.
pub(super) const VMS: usize = 3;
/// Number of targets in a run.
pub(super) const TARGETS: usize = 8;
/// Period in which the steps begin.
const STEP_PERIOD: Duration = Duration::from_secs(8);
/// Targets that may drain in one run.
const MAX_DRAINS: usize = 2;

/// A fault or a change that a run applies to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// The process is killed, and started again.
    Kill { vm: usize },
    /// The process is paused for the given time.
    Pause { vm: usize, time: Duration },
    /// The process receives SIGTERM, and is started again after its exit.
    Stop { vm: usize },
    /// The settings change, and the process is signalled to reload them.
    Reload { vm: usize, probes: u16 },
    /// The connections between a VM and the store have a fault for the given time.
    StoreLink {
        vm: usize,
        fault: LinkFault,
        time: Duration,
    },
    /// The open connections between a VM and the store carry no bytes any more.
    SilenceStoreLink { vm: usize },
    /// The store has a fault for all VMs for the given time.
    Store { fault: StoreFault, time: Duration },
    /// The store drops its history.
    Compact,
    /// The connections between the VMs and a target have a fault for the given time.
    TargetLink {
        target: usize,
        fault: LinkFault,
        time: Duration,
    },
    /// The open connections between the VMs and a target carry no bytes any more.
    SilenceTargetLink { target: usize },
    /// A target handles requests differently for the given time.
    Target {
        target: usize,
        behavior: TargetBehavior,
        time: Duration,
    },
    /// A target announces that it leaves, and its entry is removed later.
    Drain { target: usize },
    /// Operators add a route to the configuration.
    Configure,
    /// Operators withdraw a key.
    Withdraw,
}

/// Returns the steps of a run in order, each with its time since the start.
pub(super) fn draw_plan(seed: u64) -> Vec<(Duration, Step)> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let count = rng.random_range(10..=18);
    let mut plan: Vec<(Duration, Step)> = (0..count)
        .map(|_| (STEP_PERIOD.mul_f64(rng.random()), draw_step(&mut rng)))
        .collect();
    // Half of the runs also stop or kill all VMs, one after the other.
    if rng.random_bool(0.5) {
        let first = STEP_PERIOD.mul_f64(rng.random_range(0.0..0.5));
        let gap = Duration::from_millis(rng.random_range(100..1_500));
        let is_stop = rng.random_bool(0.5);
        for vm in 0..VMS {
            let step = if is_stop {
                Step::Stop { vm }
            } else {
                Step::Kill { vm }
            };
            plan.push((first + gap * vm as u32, step));
        }
    }
    if is_keyed(seed) {
        draw_withdrawals(seed, &mut plan);
    }
    plan.sort_by_key(|(at, _)| *at);
    limit_drains(&mut plan);
    plan
}

/// Adds the withdrawal of each key, and times beyond the bound on withdrawn keys in which
/// some VM, or all, reach no store. A generator of its own leaves the other steps as they
/// are.
fn draw_withdrawals(seed: u64, plan: &mut Vec<(Duration, Step)>) {
    let mut rng = Pcg32::seed_from_u64(!seed);
    for _ in WITHDRAWABLE_KEYS {
        plan.push((STEP_PERIOD.mul_f64(rng.random()), Step::Withdraw));
    }
    let at = STEP_PERIOD.mul_f64(rng.random_range(0.0..0.5));
    let time = REVOKE.mul_f64(rng.random_range(1.0..1.8));
    let step = if rng.random_bool(0.5) {
        Step::Store {
            fault: StoreFault::Silent,
            time,
        }
    } else {
        Step::StoreLink {
            vm: rng.random_range(0..VMS),
            fault: LinkFault::Silent,
            time,
        }
    };
    plan.push((at, step));
    let vm = rng.random_range(0..VMS);
    let pause = Step::Pause { vm, time };
    plan.push((STEP_PERIOD.mul_f64(rng.random()), pause));
}

/// Keeps at most the first [`MAX_DRAINS`] drains and one of each target: a drained
/// target does not return, and the fleet needs targets to serve requests.
fn limit_drains(plan: &mut Vec<(Duration, Step)>) {
    let mut drained: Vec<usize> = Vec::new();
    plan.retain(|(_, step)| match step {
        Step::Drain { target } => {
            let is_kept = drained.len() < MAX_DRAINS && !drained.contains(target);
            drained.push(*target);
            is_kept
        }
        _ => true,
    });
}

fn draw_step(rng: &mut Pcg32) -> Step {
    let vm = rng.random_range(0..VMS);
    let target = rng.random_range(0..TARGETS);
    let time = Duration::from_millis(rng.random_range(200..2_500));
    match rng.random_range(0..17) {
        0 | 1 => Step::Kill { vm },
        2 | 3 => Step::Stop { vm },
        4 | 5 => Step::Pause { vm, time },
        6 => Step::Reload {
            vm,
            probes: rng.random_range(20..60),
        },
        7 => Step::StoreLink {
            vm,
            fault: draw_link_fault(rng),
            time,
        },
        8 => Step::SilenceStoreLink { vm },
        9 => Step::Store {
            fault: draw(
                rng,
                &[
                    StoreFault::Unavailable,
                    StoreFault::Silent,
                    StoreFault::Reset,
                ],
            ),
            time,
        },
        10 => Step::Compact,
        11 => Step::TargetLink {
            target,
            fault: draw_link_fault(rng),
            time,
        },
        12 => Step::SilenceTargetLink { target },
        13 | 14 => Step::Target {
            target,
            behavior: draw(rng, &BEHAVIORS),
            time,
        },
        15 => Step::Drain { target },
        _ => Step::Configure,
    }
}

const BEHAVIORS: [TargetBehavior; 8] = [
    TargetBehavior::NotRun,
    TargetBehavior::LostAnswer,
    TargetBehavior::OtherId,
    TargetBehavior::Unsigned,
    TargetBehavior::TruncatedBody,
    TargetBehavior::PlainRefusal,
    TargetBehavior::Silent,
    TargetBehavior::DuplicateAnswer,
];

fn draw_link_fault(rng: &mut Pcg32) -> LinkFault {
    let delay = LinkFault::Delay(Duration::from_millis(rng.random_range(20..400)));
    draw(
        rng,
        &[
            delay,
            LinkFault::Reset,
            LinkFault::Silent,
            LinkFault::OneWay,
        ],
    )
}

fn draw<T: Copy>(rng: &mut Pcg32, choices: &[T]) -> T {
    *choices.choose(rng).expect("the choices are not empty")
}
