//! The heap of timed inputs and what they do.

use crate::model::{Call, Job, Sizes, Target};
use crate::policy::Policy;
use crate::report::Figures;
use crate::scenario::{Scenario, Step};
use gentianridge_core::{AttemptKey, CallKey, Output, Service};
use gentianridge_testkit::Deployment;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Hedges as a share of first attempts, in percent.
const HEDGE_PERCENT: u8 = 5;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    Arrive(usize),
    Reach(usize),
    Done(usize),
    Back(usize, BackKind),
    CancelReach(usize),
    Tick(usize),
    Step(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum BackKind {
    Answer,
    Error,
    Shed,
    Silent,
}

/// One VM with its core.
pub(crate) struct Vm {
    pub(crate) service: Service,
    pub(crate) domain: usize,
    pub(crate) is_dead: bool,
    pub(crate) calls: HashMap<CallKey, usize>,
    pub(crate) jobs: HashMap<AttemptKey, usize>,
    pub(crate) tick_at: u64,
    pub(crate) own: Vec<u16>,
    pub(crate) reported: Vec<u16>,
    pub(crate) turn: usize,
}

/// One run of one policy in one scenario.
pub(crate) struct Engine {
    pub(crate) base: Instant,
    pub(crate) now_us: u64,
    pub(crate) seq: u64,
    pub(crate) heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pub(crate) sizes: Sizes,
    pub(crate) scenario: Scenario,
    pub(crate) policy: Policy,
    pub(crate) targets: Vec<Target>,
    pub(crate) vms: Vec<Vm>,
    pub(crate) calls: Vec<Call>,
    pub(crate) jobs: Vec<Job>,
    pub(crate) rng: Pcg32,
    pub(crate) figures: Figures,
    pub(crate) steps: Vec<(u64, Step)>,
    pub(crate) out: Vec<Output>,
    pub(crate) central: [VecDeque<usize>; 2],
    pub(crate) booked: Vec<usize>,
}

impl Engine {
    pub(crate) fn new(
        deployment: Deployment,
        scenario: Scenario,
        policy: Policy,
        seed: u64,
    ) -> Self {
        let sizes = Sizes::new(deployment);
        let mut engine = Self {
            base: Instant::now(),
            now_us: 0,
            seq: 0,
            heap: BinaryHeap::new(),
            targets: sizes.make_targets(),
            vms: (0..Sizes::VMS)
                .map(|index| make_vm(&sizes, index, seed))
                .collect(),
            calls: sizes.make_calls(scenario, seed),
            jobs: Vec::new(),
            rng: Pcg32::seed_from_u64(seed ^ 0xABCD),
            figures: Figures::new(),
            steps: scenario.get_steps(),
            out: Vec::new(),
            central: [VecDeque::new(), VecDeque::new()],
            booked: vec![0; sizes.targets],
            sizes,
            scenario,
            policy,
        };
        engine.share_live();
        engine
    }

    pub(crate) fn run(mut self) -> Figures {
        for index in 0..self.calls.len() {
            self.push(self.calls[index].at_us, Event::Arrive(index));
        }
        for index in 0..self.steps.len() {
            self.push(self.steps[index].0, Event::Step(index));
        }
        while let Some(Reverse((at, _, event))) = self.heap.pop() {
            self.now_us = at;
            self.handle(event);
        }
        self.finish()
    }

    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::Reach(job) => self.reach(job),
            Event::Done(job) => self.done(job),
            Event::Back(job, kind) => self.back(job, kind),
            Event::CancelReach(job) => self.cancel_reach(job),
            Event::Tick(vm) => self.tick(vm),
            Event::Step(step) => self.step(self.steps[step].1),
        }
    }

    pub(crate) fn finish(mut self) -> Figures {
        for vm in &self.vms {
            let counters = vm.service.get_counters();
            self.figures.retries += counters.retries;
            self.figures.hedges += counters.hedges;
            self.figures.ejections += counters.ejections;
        }
        for index in 0..self.calls.len() {
            self.lose(index, false);
        }
        self.figures
    }

    pub(crate) fn push(&mut self, at_us: u64, event: Event) {
        self.seq += 1;
        self.heap.push(Reverse((at_us, self.seq, event)));
    }

    pub(crate) fn now(&self) -> Instant {
        self.base + Duration::from_micros(self.now_us)
    }

    /// One-way time between a VM and a target.
    pub(crate) fn travel_us(&self, vm: usize, target: usize) -> u64 {
        if self.vms[vm].domain == self.targets[target].domain {
            Sizes::LOCAL_US
        } else {
            self.sizes.remote_us
        }
    }
}

fn make_vm(sizes: &Sizes, index: usize, seed: u64) -> Vm {
    Vm {
        service: Service::new(sizes.make_spec(HEDGE_PERCENT), seed * 31 + index as u64),
        domain: index % Sizes::DOMAINS,
        is_dead: false,
        calls: HashMap::new(),
        jobs: HashMap::new(),
        tick_at: 0,
        own: vec![0; sizes.targets],
        reported: vec![0; sizes.targets],
        turn: index,
    }
}
