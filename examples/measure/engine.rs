//! The heap of timed inputs and what they do.

use crate::model::{Call, Job, SHORT_DEADLINE, SILENCE, Sizes, Target, Work};
use crate::policy::Policy;
use crate::report::Figures;
use crate::scenario::{FAULT_US, SETTLE_US, Scenario, Step};
use gentianridge_core::{
    Arrival, AttemptKey, CallKey, ClassKey, LoadReport, Outcome, Output, Service,
};
use gentianridge_testkit::Deployment;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Time that a target needs to fail fast.
const FAIL_US: u64 = 500;
/// Hedges as a share of first attempts, in percent.
const HEDGE_PERCENT: u8 = 5;
/// Time before the deadline at which the omniscient queue gives a call up.
///
/// It covers 99 in 100 service times and the way there and back, so that
/// hardly any slot is spent on an answer that comes too late.
const BOUND_MARGIN_US: u64 = 26_000;
/// Time after which a long call counts as late.
const LONG_IN_TIME_US: u64 = 30_000_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Reach(usize),
    Done(usize),
    Back(usize, BackKind),
    CancelReach(usize),
    Tick(usize),
    Step(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum BackKind {
    Answer,
    Error,
    Shed,
    Silent,
}

/// One VM with its core.
struct Vm {
    service: Service,
    domain: usize,
    is_dead: bool,
    calls: HashMap<CallKey, usize>,
    jobs: HashMap<AttemptKey, usize>,
    tick_at: u64,
    own: Vec<u16>,
    reported: Vec<u16>,
    turn: usize,
}

/// One run of one policy in one scenario.
pub(crate) struct Engine {
    base: Instant,
    now_us: u64,
    seq: u64,
    heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sizes: Sizes,
    scenario: Scenario,
    policy: Policy,
    targets: Vec<Target>,
    vms: Vec<Vm>,
    calls: Vec<Call>,
    jobs: Vec<Job>,
    rng: Pcg32,
    figures: Figures,
    steps: Vec<(u64, Step)>,
    out: Vec<Output>,
    central: [VecDeque<usize>; 2],
    booked: Vec<usize>,
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

    fn handle(&mut self, event: Event) {
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

    fn finish(mut self) -> Figures {
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

    fn push(&mut self, at_us: u64, event: Event) {
        self.seq += 1;
        self.heap.push(Reverse((at_us, self.seq, event)));
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_micros(self.now_us)
    }

    /// One-way time between a VM and a target.
    fn travel_us(&self, vm: usize, target: usize) -> u64 {
        if self.vms[vm].domain == self.targets[target].domain {
            Sizes::LOCAL_US
        } else {
            self.sizes.remote_us
        }
    }
}

/// Calls.
impl Engine {
    fn arrive(&mut self, index: usize) {
        let work = self.calls[index].work;
        self.figures.of(work).calls += 1;
        let vm = self.find_live_vm(self.calls[index].vm);
        self.calls[index].vm = vm;
        match self.policy {
            Policy::Ours => self.arrive_at_core(vm, index),
            Policy::Omniscient => {
                self.central[work as usize].push_back(index);
                self.serve_central();
            }
            _ => {
                let target = self.choose(vm);
                self.send(index, vm, target, None);
            }
        }
    }

    /// The platform's balancer sends no calls to VMs that are gone.
    fn find_live_vm(&self, wanted: usize) -> usize {
        (0..self.vms.len())
            .map(|offset| (wanted + offset) % self.vms.len())
            .find(|&vm| !self.vms[vm].is_dead)
            .unwrap_or(wanted)
    }

    fn arrive_at_core(&mut self, vm: usize, index: usize) {
        let call = &self.calls[index];
        let (class, deadline) = match call.work {
            Work::Short => (ClassKey(0), SHORT_DEADLINE),
            Work::Long => (ClassKey(1), Duration::from_micros(LONG_IN_TIME_US)),
        };
        let now = self.now();
        let arrival = Arrival {
            class,
            deadline: now + deadline,
            is_replayable: true,
        };
        let mut out = std::mem::take(&mut self.out);
        let key = self.vms[vm].service.arrive(now, arrival, &mut out);
        self.vms[vm].calls.insert(key, index);
        self.settle(vm, out);
    }

    /// Carries out what a core asked for.
    fn settle(&mut self, vm: usize, mut out: Vec<Output>) {
        for output in out.drain(..) {
            match output {
                Output::Dispatch {
                    call,
                    attempt,
                    target,
                    ..
                } => {
                    let Some(&index) = self.vms[vm].calls.get(&call) else {
                        continue;
                    };
                    let job = self.send(index, vm, target.get_index(), Some(attempt));
                    self.vms[vm].jobs.insert(attempt, job);
                }
                Output::Deliver { call, .. } => {
                    if let Some(index) = self.vms[vm].calls.remove(&call) {
                        self.answer(index);
                    }
                }
                Output::Refuse { call, code } => {
                    if let Some(index) = self.vms[vm].calls.remove(&call) {
                        let is_refusal = code.run_state() == gentianridge_core::RunState::NotRun;
                        self.lose(index, is_refusal);
                    }
                }
                Output::Cancel { attempt, .. } => self.cancel(vm, attempt),
                Output::Event(_) => {}
            }
        }
        self.out = out;
        self.arm(vm);
    }

    fn arm(&mut self, vm: usize) {
        let now = self.now();
        let Some(wake) = self.vms[vm].service.next_wake(now) else {
            return;
        };
        let at =
            (wake.saturating_duration_since(self.base).as_micros() as u64 + 1).max(self.now_us + 1);
        if at < self.vms[vm].tick_at || self.vms[vm].tick_at <= self.now_us {
            self.vms[vm].tick_at = at;
            self.push(at, Event::Tick(vm));
        }
    }

    fn tick(&mut self, vm: usize) {
        if self.vms[vm].is_dead || self.vms[vm].tick_at != self.now_us {
            return;
        }
        let now = self.now();
        let mut out = std::mem::take(&mut self.out);
        self.vms[vm].service.tick(now, &mut out);
        self.settle(vm, out);
    }

    fn answer(&mut self, index: usize) {
        let call = &mut self.calls[index];
        if call.is_done {
            return;
        }
        call.is_done = true;
        let elapsed = self.now_us - call.at_us;
        let limit = match call.work {
            Work::Short => SHORT_DEADLINE.as_micros() as u64,
            Work::Long => LONG_IN_TIME_US,
        };
        let (work, at_us) = (call.work, call.at_us);
        self.figures.of(work).record(elapsed, elapsed <= limit);
        self.count_settled(work, at_us, elapsed > limit);
    }

    fn lose(&mut self, index: usize, is_refusal: bool) {
        let call = &mut self.calls[index];
        if call.is_done {
            return;
        }
        call.is_done = true;
        let (work, at_us) = (call.work, call.at_us);
        if is_refusal {
            self.figures.of(work).refused += 1;
        } else {
            self.figures.of(work).failed += 1;
        }
        self.count_settled(work, at_us, true);
    }

    fn count_settled(&mut self, work: Work, at_us: u64, is_lost: bool) {
        if work == Work::Short && at_us >= FAULT_US + SETTLE_US {
            self.figures.settled += 1;
            self.figures.settled_lost += u64::from(is_lost);
        }
    }
}

/// Jobs.
impl Engine {
    fn send(
        &mut self,
        call: usize,
        vm: usize,
        target: usize,
        attempt: Option<AttemptKey>,
    ) -> usize {
        let job = self.jobs.len();
        self.jobs.push(Job {
            call,
            vm,
            target,
            attempt,
            is_cancelled: false,
            is_booked: self.policy == Policy::Omniscient,
            report: LoadReport::default(),
        });
        self.vms[vm].own[target] += 1;
        if self.policy != Policy::Ours || attempt.is_some() {
            self.figures.first_attempts += u64::from(self.is_first(job));
        }
        let at = self.now_us + self.way_there_us(vm, target);
        self.push(at, Event::Reach(job));
        job
    }

    /// The omniscient queue stands beside the slots, so that no slot is idle
    /// while a request travels; both ways are charged to the answer.
    fn way_there_us(&self, vm: usize, target: usize) -> u64 {
        if self.policy == Policy::Omniscient {
            0
        } else {
            self.travel_us(vm, target)
        }
    }

    fn way_back_us(&self, vm: usize, target: usize) -> u64 {
        2 * self.travel_us(vm, target) - self.way_there_us(vm, target)
    }

    fn is_first(&self, job: usize) -> bool {
        // Retries and hedges are counted by the cores themselves.
        self.policy != Policy::Ours
            || self.vms[self.jobs[job].vm]
                .jobs
                .values()
                .all(|&other| self.jobs[other].call != self.jobs[job].call)
    }

    fn reach(&mut self, job: usize) {
        let Job {
            target,
            vm,
            is_cancelled,
            ..
        } = self.jobs[job];
        if is_cancelled {
            return;
        }
        let travel = self.way_back_us(vm, target);
        self.jobs[job].report = self.make_report(target);
        let state = &mut self.targets[target];
        if state.is_dead {
            let at = self.now_us + SILENCE.as_micros() as u64 - travel;
            self.push(at, Event::Back(job, BackKind::Silent));
        } else if state.fails_fast {
            self.push(
                self.now_us + FAIL_US + travel,
                Event::Back(job, BackKind::Error),
            );
        } else if state.is_full() {
            self.push(self.now_us + travel, Event::Back(job, BackKind::Shed));
        } else {
            state.queue.push_back(job);
            self.serve_target(target);
        }
    }

    fn serve_target(&mut self, target: usize) {
        while self.targets[target].running.len() < self.targets[target].slots {
            let Some(job) = self.targets[target].queue.pop_front() else {
                break;
            };
            self.targets[target].running.push(job);
            let call = self.jobs[job].call;
            let factor = u64::from(self.targets[target].slow_factor);
            let at = self.now_us + self.calls[call].service_us * factor;
            self.push(at, Event::Done(job));
        }
        let keep = self.scenario.get_report_age_us() + 1_000;
        let now = self.now_us;
        self.targets[target].note_held(now, keep);
    }

    fn done(&mut self, job: usize) {
        let Job { target, vm, .. } = self.jobs[job];
        let Some(index) = self.targets[target]
            .running
            .iter()
            .position(|&other| other == job)
        else {
            return;
        };
        let travel = self.way_back_us(vm, target);
        self.jobs[job].report = self.make_report(target);
        self.push(self.now_us + travel, Event::Back(job, BackKind::Answer));
        self.targets[target].running.swap_remove(index);
        self.free_booking(job);
        self.serve_target(target);
        self.serve_central();
    }

    fn cancel(&mut self, vm: usize, attempt: AttemptKey) {
        let Some(job) = self.vms[vm].jobs.remove(&attempt) else {
            return;
        };
        let target = self.jobs[job].target;
        self.vms[vm].own[target] -= 1;
        let at = self.now_us + self.travel_us(vm, target);
        self.push(at, Event::CancelReach(job));
    }

    fn cancel_reach(&mut self, job: usize) {
        self.jobs[job].is_cancelled = true;
        let target = self.jobs[job].target;
        let state = &mut self.targets[target];
        state.queue.retain(|&other| other != job);
        state.running.retain(|&other| other != job);
        self.serve_target(target);
    }

    fn back(&mut self, job: usize, kind: BackKind) {
        let Job {
            vm,
            target,
            call,
            attempt,
            is_cancelled,
            ..
        } = self.jobs[job];
        if self.vms[vm].is_dead || is_cancelled {
            return;
        }
        let report = self.jobs[job].report;
        self.vms[vm].reported[target] = report.in_flight;
        let Some(attempt) = attempt else {
            self.vms[vm].own[target] -= 1;
            match kind {
                BackKind::Answer => self.answer(call),
                _ => self.lose(call, false),
            }
            self.free_booking(job);
            return;
        };
        if self.vms[vm].jobs.remove(&attempt).is_none() {
            return;
        }
        self.vms[vm].own[target] -= 1;
        let now = self.now();
        let mut out = std::mem::take(&mut self.out);
        let service = &mut self.vms[vm].service;
        let key = service
            .find_target(&format!("t{target}"))
            .expect("every target of the rig is declared");
        if kind != BackKind::Silent {
            service.report(now, key, Some(attempt), report, &mut out);
        }
        match kind {
            BackKind::Answer | BackKind::Error => {
                service.answered(now, attempt, kind == BackKind::Error, false, &mut out);
                service.finished(now, attempt, &mut out);
            }
            BackKind::Shed => service.failed(now, attempt, Outcome::Shed, &mut out),
            BackKind::Silent => service.failed(now, attempt, Outcome::Silent, &mut out),
        }
        self.settle(vm, out);
    }

    /// The report counts the request that it comes with.
    fn make_report(&self, target: usize) -> LoadReport {
        let age = self.scenario.get_report_age_us();
        let held = if age > 0 {
            self.targets[target].get_held_at(self.now_us.saturating_sub(age))
        } else {
            self.targets[target].get_held()
        };
        LoadReport {
            in_flight: if self.scenario.is_misreporting(target) {
                0
            } else {
                held
            },
            slots: None,
            is_leaving: false,
        }
    }
}

/// Baselines.
impl Engine {
    fn choose(&mut self, vm: usize) -> usize {
        let count = self.targets.len();
        match self.policy {
            Policy::RoundRobin => {
                self.vms[vm].turn += 1;
                self.vms[vm].turn % count
            }
            Policy::LeastInFlight => {
                let start = self.rng.random_range(0..count);
                (0..count)
                    .map(|offset| (start + offset) % count)
                    .min_by_key(|&target| self.vms[vm].own[target])
                    .unwrap_or(start)
            }
            Policy::TwoChoices => {
                let first = self.rng.random_range(0..count);
                let second = self.rng.random_range(0..count);
                let load =
                    |target: usize| self.vms[vm].reported[target].max(self.vms[vm].own[target]);
                if load(second) < load(first) {
                    second
                } else {
                    first
                }
            }
            _ => self.rng.random_range(0..count),
        }
    }

    /// Gives every slot that is free to the call that has waited longest.
    fn serve_central(&mut self) {
        if self.policy != Policy::Omniscient {
            return;
        }
        while let Some(target) = self.find_free_slot() {
            let Some(call) = self.next_central() else {
                return;
            };
            self.booked[target] += 1;
            let vm = self.calls[call].vm;
            self.send(call, vm, target, None);
        }
    }

    fn find_free_slot(&mut self) -> Option<usize> {
        let count = self.targets.len();
        let start = self.rng.random_range(0..count);
        (0..count)
            .map(|offset| (start + offset) % count)
            .find(|&target| {
                !self.targets[target].is_dead && self.booked[target] < self.targets[target].slots
            })
    }

    fn next_central(&mut self) -> Option<usize> {
        while let Some(call) = self.central[0].pop_front() {
            let waited = self.now_us - self.calls[call].at_us;
            if waited + BOUND_MARGIN_US <= SHORT_DEADLINE.as_micros() as u64 {
                return Some(call);
            }
            self.lose(call, true);
        }
        self.central[1].pop_front()
    }

    fn free_booking(&mut self, job: usize) {
        if self.jobs[job].is_booked {
            self.jobs[job].is_booked = false;
            self.booked[self.jobs[job].target] -= 1;
        }
    }
}

/// Faults.
impl Engine {
    fn step(&mut self, step: Step) {
        match step {
            Step::Slow { target, factor } => self.targets[target].slow_factor = factor,
            Step::FailFast { target, on } => self.targets[target].fails_fast = on,
            Step::LoseDomain => self.lose_domain(),
            Step::NoticeLoss => self.share_live(),
        }
    }

    /// The first failure domain is gone with its targets and VMs.
    fn lose_domain(&mut self) {
        for target in self.targets.iter_mut().filter(|target| target.domain == 0) {
            target.is_dead = true;
            let held: Vec<usize> = target
                .running
                .drain(..)
                .chain(target.queue.drain(..))
                .collect();
            for job in held {
                self.seq += 1;
                let at = self.now_us + SILENCE.as_micros() as u64;
                let event = Event::Back(job, BackKind::Silent);
                self.heap.push(Reverse((at, self.seq, event)));
            }
        }
        for vm in self.vms.iter_mut().filter(|vm| vm.domain == 0) {
            vm.is_dead = true;
        }
    }

    fn share_live(&mut self) {
        let live: Vec<usize> = (0..self.vms.len())
            .filter(|&vm| !self.vms[vm].is_dead)
            .collect();
        for (rank, &vm) in live.iter().enumerate() {
            let now = self.now();
            let mut out = std::mem::take(&mut self.out);
            self.vms[vm]
                .service
                .set_fleet(now, live.len() as u16, rank as u16, &mut out);
            self.settle(vm, out);
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
