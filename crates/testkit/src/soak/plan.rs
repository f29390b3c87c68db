//! What a run does to its fleet, drawn from a seed.

use super::LinkFault;
use crate::{StoreFault, TargetBehavior};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// VMs of a run.
pub(super) const VMS: usize = 3;
/// Targets of a run.
pub(super) const TARGETS: usize = 8;
/// Time in which steps begin.
const SPAN: Duration = Duration::from_secs(8);
/// Targets that may announce their leave in one run.
const MAX_DRAINS: usize = 2;

/// One thing that happens to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// The process is killed and started again.
    Kill { vm: usize },
    /// The process is paused for a time.
    Pause { vm: usize, time: Duration },
    /// The process is asked to stop, and started again after its end.
    Stop { vm: usize },
    /// The process is told that its settings have changed.
    Reload { vm: usize, probes: u16 },
    /// The way from a VM to the store is harmed for a time.
    StoreLink {
        vm: usize,
        fault: LinkFault,
        time: Duration,
    },
    /// Open connections from a VM to the store fall silent.
    StoreConnectionsSilenced { vm: usize },
    /// The store misbehaves towards all for a time.
    Store { fault: StoreFault, time: Duration },
    /// The store drops its history.
    Compact,
    /// The way to a target is harmed for a time.
    TargetLink {
        target: usize,
        fault: LinkFault,
        time: Duration,
    },
    /// Open connections to a target fall silent.
    TargetConnectionsSilenced { target: usize },
    /// A target answers in another way for a time.
    Target {
        target: usize,
        behavior: TargetBehavior,
        time: Duration,
    },
    /// A target announces that it leaves, and goes later.
    Drain { target: usize },
    /// Operators change the configuration.
    Configure,
}

/// Steps with the time of each, in order.
pub(super) fn draw_plan(seed: u64) -> Vec<(Duration, Step)> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let count = rng.random_range(10..=18);
    let mut plan: Vec<(Duration, Step)> = (0..count)
        .map(|_| (SPAN.mul_f64(rng.random()), draw_step(&mut rng)))
        .collect();
    // A series: one kind of step on one VM after the other.
    if rng.random_bool(0.5) {
        let first = SPAN.mul_f64(rng.random_range(0.0..0.5));
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
    plan.sort_by_key(|(at, _)| *at);
    limit_drains(&mut plan);
    plan
}

/// Leaves for good are few, so that work can go on.
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
        8 => Step::StoreConnectionsSilenced { vm },
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
        12 => Step::TargetConnectionsSilenced { target },
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

fn draw<T: Copy>(rng: &mut Pcg32, of: &[T]) -> T {
    *of.choose(rng).expect("there is something to choose from")
}
