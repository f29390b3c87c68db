//! The rate of a cold target over the whole fleet, in a model with a virtual clock.

use gentianridge_core::{ColdFleet, ColdPlan, ColdRate, ColdState, RequestBound, VmName};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::time::{Duration, Instant};

/// Time between two steps of the model.
const STEP: Duration = Duration::from_millis(10);
/// Time for which a VM owns nothing after its start.
const SETTLE: Duration = Duration::from_secs(3);
/// Time for which the target is cold in the model; longer than any warm-up, so that more
/// windows are seen.
const COLD: Duration = Duration::from_secs(40);
const TARGET: u64 = 0x5eed_7a29;
const RATE: ColdRate = ColdRate {
    warm_up: Duration::from_secs(3),
    per_second: 5.3,
};
const BOUND: RequestBound = RequestBound {
    excess_percent: 50,
    slack: 8,
};

/// A guard that the model leaves out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// Every VM sends.
    NoOwners,
    /// Owners send as fast as they have requests.
    NoBudget,
    /// Each owner has the whole rate, as if it were the only one.
    WholeRate,
    /// A VM owns targets at once after its start, when it knows no other VM.
    NoSettle,
    /// VMs that are silent are forgotten at once, so that each side of a cut has owners.
    LiveOnly,
    /// A part that was taken before a pause is used after it.
    OldClaims,
    /// A VM does not treat the target as cold when it learns of it.
    NotCold,
}

struct Vm {
    name: VmName,
    state: ColdState,
    /// Names of the other VMs that this one knows.
    known: Vec<usize>,
    started: Instant,
    paused_until: Instant,
    /// Times at which parts of the rate were taken for requests that wait for the send.
    claims: Vec<Instant>,
    side: usize,
}

struct Model {
    now: Instant,
    start: Instant,
    vms: Vec<Vm>,
    plan: ColdPlan,
    mutant: Mutant,
    rng: Pcg32,
    sides: usize,
    arrivals: Vec<Instant>,
}

impl Model {
    fn new(count: usize, seed: u64, mutant: Mutant) -> Self {
        let start = Instant::now() + Duration::from_secs(60);
        let mut plan = ColdPlan::new(RATE, BOUND);
        if mutant == Mutant::WholeRate {
            plan.interval /= 8;
        }
        let vms = (0..count).map(|index| Vm {
            name: format!("vm-{index}").into(),
            state: ColdState::default(),
            known: (0..count).filter(|other| *other != index).collect(),
            started: start - SETTLE,
            paused_until: start,
            claims: Vec::new(),
            side: 0,
        });
        let mut model = Self {
            now: start,
            start,
            vms: vms.collect(),
            plan,
            mutant,
            rng: Pcg32::seed_from_u64(seed),
            sides: 1,
            arrivals: Vec::new(),
        };
        for index in 0..count {
            model.learn_cold(index);
        }
        model
    }

    /// The VM learns from the entry, or from the target, that the target is cold.
    fn learn_cold(&mut self, index: usize) {
        if self.mutant != Mutant::NotCold {
            self.vms[index].state.state(self.start + COLD);
        }
        self.choose_owners(index);
    }

    fn choose_owners(&mut self, index: usize) {
        let settle = match self.mutant {
            Mutant::NoSettle => Duration::ZERO,
            _ => SETTLE,
        };
        let vm = &self.vms[index];
        let is_seen =
            |other: &&usize| self.mutant != Mutant::LiveOnly || self.vms[**other].side == vm.side;
        let known = vm.known.iter().filter(is_seen);
        let names = known.map(|other| &self.vms[*other].name);
        let fleet = ColdFleet::new(&vm.name, names, Some(vm.started + settle));
        let (now, plan) = (self.now, self.plan);
        self.vms[index].state.set_owner(now, &fleet, &plan, TARGET);
    }

    /// Kills VMs; each starts again with an empty state and knows the fleet a little later.
    fn restart(&mut self, count: usize) {
        for _ in 0..count {
            let index = self.rng.random_range(0..self.vms.len());
            let vm = &mut self.vms[index];
            vm.state = ColdState::default();
            vm.started = self.now;
            vm.known.clear();
            vm.claims.clear();
            self.learn_cold(index);
        }
    }

    /// VMs that started get to know the others, unless a message is lost.
    fn learn_fleet(&mut self) {
        for index in 0..self.vms.len() {
            let is_complete = self.vms[index].known.len() + 1 == self.vms.len();
            if !is_complete && self.rng.random_bool(0.02) {
                self.vms[index].known = (0..self.vms.len()).filter(|o| *o != index).collect();
                self.choose_owners(index);
            }
        }
    }

    /// Cuts the fleet into parts that do not hear each other; all reach the target.
    fn cut(&mut self, sides: usize) {
        self.sides = sides;
        for index in 0..self.vms.len() {
            self.vms[index].side = self.rng.random_range(0..sides);
        }
        for index in 0..self.vms.len() {
            self.choose_owners(index);
        }
    }

    fn step(&mut self, demand: f64) {
        for index in 0..self.vms.len() {
            let now = self.now;
            let is_asked = self.rng.random_bool(demand * STEP.as_secs_f64());
            let delay = Duration::from_millis(self.rng.random_range(0..60));
            let mutant = self.mutant;
            let vm = &mut self.vms[index];
            if vm.paused_until > now {
                continue;
            }
            let max_age = match mutant {
                Mutant::OldClaims => Duration::MAX,
                _ => Duration::from_millis(250),
            };
            for claim in std::mem::take(&mut vm.claims) {
                if now.saturating_duration_since(claim) < delay {
                    vm.claims.push(claim);
                } else if now.saturating_duration_since(claim) <= max_age {
                    self.arrivals.push(now);
                }
            }
            let is_open = match mutant {
                Mutant::NoOwners => true,
                Mutant::NoBudget => vm.state.get_opening(now) < self.start + COLD,
                _ => vm.state.is_open(now),
            };
            if is_asked && is_open {
                vm.state.take(now, &self.plan);
                vm.claims.push(now);
            }
        }
        self.now += STEP;
    }

    /// Returns the most arrivals in any second.
    fn get_most(&mut self) -> usize {
        self.arrivals.sort_unstable();
        let times = &self.arrivals;
        let counts = times.iter().enumerate().map(|(first, begin)| {
            let end = times.partition_point(|at| *at <= *begin + Duration::from_secs(1));
            end - first
        });
        counts.max().unwrap_or(0)
    }
}

/// Plays a day with restarts, pauses and cuts into two or three parts.
fn play(count: usize, seed: u64, mutant: Mutant) -> usize {
    let mut model = Model::new(count, seed, mutant);
    let demands = [2.0, 8.0, 30.0];
    let demand = *demands.choose(&mut model.rng).unwrap();
    for step in 0..3_000 {
        if step % 211 == 0 {
            let killed = [1, count / 3, count].choose(&mut model.rng).copied();
            model.restart(killed.unwrap_or(1));
        }
        if step % 307 == 0 {
            let sides = model.rng.random_range(1..=3);
            model.cut(sides);
        }
        if step % 97 == 0 {
            let until = model.now + Duration::from_millis(model.rng.random_range(100..2_500));
            let is_common = model.rng.random_bool(0.5);
            for vm in &mut model.vms {
                if is_common {
                    vm.paused_until = until;
                }
            }
        }
        model.learn_fleet();
        model.step(demand);
    }
    model.get_most()
}

fn get_limit() -> usize {
    (RATE.per_second * 1.5 + 8.0) as usize
}

#[test]
fn bound_holds() {
    for count in [5, 41, 124, 300] {
        for seed in 0..6 {
            let most = play(count, seed, Mutant::None);
            assert!(
                most <= get_limit(),
                "{count} VMs, seed {seed}: {most} requests in a second"
            );
        }
    }
}

#[test]
fn mutants_found() {
    let mutants = [
        Mutant::NoOwners,
        Mutant::NoBudget,
        Mutant::WholeRate,
        Mutant::NoSettle,
        Mutant::NotCold,
    ];
    for mutant in mutants {
        let is_found = (0..8).any(|seed| play(124, seed, mutant) > get_limit());
        assert!(is_found, "{mutant:?} stays within the bound");
    }
}

/// VMs that forget each other during a cut elect owners on each side.
#[test]
fn cut_by_liveness() {
    let most = |mutant| {
        let mut model = Model::new(41, 3, mutant);
        model.cut(5);
        for _ in 0..2_000 {
            model.step(30.0);
        }
        model.get_most()
    };
    assert!(most(Mutant::None) <= get_limit());
    assert!(most(Mutant::LiveOnly) > get_limit());
}

/// A process that is paused again and again takes a part each time it runs and sends them
/// all after the last pause.
#[test]
fn claims_expire() {
    let most = |mutant| {
        let mut model = Model::new(2, 5, mutant);
        for _ in 0..200 {
            let now = model.now;
            for vm in &mut model.vms {
                if vm.state.is_open(now) {
                    vm.state.take(now, &model.plan);
                    vm.claims.push(now);
                }
            }
            model.now += Duration::from_millis(100);
        }
        model.step(0.0);
        model.now += Duration::from_millis(100);
        model.step(0.0);
        model.get_most()
    };
    assert!(most(Mutant::None) <= get_limit());
    assert!(most(Mutant::OldClaims) > get_limit());
}

/// In calm a cold target gets at least four fifths of its rate.
#[test]
fn rate_used() {
    for count in [5, 41, 124, 300] {
        let mut model = Model::new(count, 11, Mutant::None);
        for _ in 0..2_000 {
            model.step(20.0);
        }
        let seconds = model
            .now
            .saturating_duration_since(model.start)
            .as_secs_f64();
        let used = model.arrivals.len() as f64 / (RATE.per_second * seconds);
        assert!(used >= 0.8, "{count} VMs use {used:.2} of the rate");
        assert!(used <= 1.1, "{count} VMs use {used:.2} of the rate");
    }
}

#[test]
fn plans_within_bounds() {
    let slacks = [0, 1, 8, 20];
    let rates = [0.4, 1.0, 5.0, 5.3, 7.0, 20.0, 60.0];
    for (per_second, slack) in rates.iter().flat_map(|r| slacks.map(|s| (*r, s))) {
        for excess_percent in [0, 50] {
            let rate = ColdRate { per_second, ..RATE };
            let bound = RequestBound {
                excess_percent,
                slack,
            };
            let plan = ColdPlan::new(rate, bound);
            let limit = per_second * (1.0 + f64::from(excess_percent) / 100.0) + f64::from(slack);
            let most = (1.0 / plan.interval.as_secs_f64() + 0.25).floor() + 1.0;
            let sum = 2.0 * plan.owners as f64 * most;
            assert!(sum <= limit, "{per_second} {bound:?}: {plan:?} sends {sum}");
        }
    }
}
