//! The heap of timed events and the dispatch of each event to its handler.

use crate::model::{Call, Job, Sizes, Target};
use crate::policy::Policy;
use crate::report::Figures;
use crate::scenario::{FaultChange, Scenario};
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
    /// A call arrives at a VM.
    CallArrived(usize),
    /// The request of a job arrives at its target.
    RequestArrived(usize),
    /// A target has completed the request of a job.
    RequestCompleted(usize),
    /// The response to a job arrives at its VM.
    ResponseArrived(usize, ResponseKind),
    /// The cancellation of a job arrives at its target.
    CancelArrived(usize),
    Tick(usize),
    FaultChange(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ResponseKind {
    Answer,
    Error,
    Shed,
    Silent,
}

/// One VM with the core's state of the service.
pub(crate) struct Vm {
    pub(crate) service: Service,
    pub(crate) domain: usize,
    pub(crate) is_dead: bool,
    pub(crate) calls: HashMap<CallKey, usize>,
    pub(crate) jobs: HashMap<AttemptKey, usize>,
    pub(crate) tick_at_us: u64,
    /// Requests of this VM in flight, by target.
    pub(crate) own_in_flight: Vec<u16>,
    /// Requests in flight by the last load report, by target.
    pub(crate) reported_in_flight: Vec<u16>,
    pub(crate) round_robin_index: usize,
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
    pub(crate) fault_changes: Vec<(u64, FaultChange)>,
    pub(crate) out: Vec<Output>,
    /// Calls that wait in the omniscient queue, by [`Work`](crate::model::Work).
    pub(crate) central_queues: [VecDeque<usize>; 2],
    /// Slots that the omniscient queue has assigned, by target.
    pub(crate) reserved_slots: Vec<usize>,
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
            fault_changes: scenario.get_fault_changes(),
            out: Vec::new(),
            central_queues: [VecDeque::new(), VecDeque::new()],
            reserved_slots: vec![0; sizes.targets],
            sizes,
            scenario,
            policy,
        };
        engine.update_fleet();
        engine
    }

    pub(crate) fn run(mut self) -> Figures {
        for index in 0..self.calls.len() {
            self.push(self.calls[index].at_us, Event::CallArrived(index));
        }
        for index in 0..self.fault_changes.len() {
            self.push(self.fault_changes[index].0, Event::FaultChange(index));
        }
        while let Some(Reverse((at, _, event))) = self.heap.pop() {
            self.now_us = at;
            self.handle(event);
        }
        self.finish()
    }

    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::CallArrived(call) => self.arrive(call),
            Event::RequestArrived(job) => self.receive_request(job),
            Event::RequestCompleted(job) => self.complete_request(job),
            Event::ResponseArrived(job, kind) => self.receive_response(job, kind),
            Event::CancelArrived(job) => self.receive_cancel(job),
            Event::Tick(vm) => self.tick(vm),
            Event::FaultChange(index) => self.apply_fault_change(self.fault_changes[index].1),
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
            self.record_loss(index, false);
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

    /// Returns the one-way time between a VM and a target.
    pub(crate) fn get_travel_us(&self, vm: usize, target: usize) -> u64 {
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
        tick_at_us: 0,
        own_in_flight: vec![0; sizes.targets],
        reported_in_flight: vec![0; sizes.targets],
        round_robin_index: index,
    }
}
