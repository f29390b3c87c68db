//! The arrival and the end of calls.

use crate::engine::{Engine, Event};
use crate::model::{SHORT_DEADLINE, Work};
use crate::policy::Policy;
use crate::scenario::{FAULT_US, SETTLE_US};
use gentianridge_core::{Arrival, ClassKind, Output};
use std::time::Duration;

/// Time in microseconds after which a long call is late.
const LONG_DEADLINE_US: u64 = 30_000_000;

impl Engine {
    pub(crate) fn arrive(&mut self, index: usize) {
        let work = self.calls[index].work;
        self.figures.get_work_mut(work).calls += 1;
        let vm = self.find_live_vm(self.calls[index].vm);
        self.calls[index].vm = vm;
        match self.policy {
            Policy::Ours => self.arrive_at_core(vm, index),
            Policy::Omniscient => {
                self.central_queues[work as usize].push_back(index);
                self.dispatch_central();
            }
            _ => {
                let target = self.choose_target(vm);
                self.send(index, vm, target, None);
            }
        }
    }

    /// Returns the chosen VM, or the next live one if it is dead.
    ///
    /// The platform's balancer sends no calls to dead VMs.
    pub(crate) fn find_live_vm(&self, chosen: usize) -> usize {
        (0..self.vms.len())
            .map(|offset| (chosen + offset) % self.vms.len())
            .find(|&vm| !self.vms[vm].is_dead)
            .unwrap_or(chosen)
    }

    pub(crate) fn arrive_at_core(&mut self, vm: usize, index: usize) {
        let call = &self.calls[index];
        let (position, kind, deadline) = match call.work {
            Work::Short => (0, ClassKind::Interactive, SHORT_DEADLINE),
            Work::Long => (
                1,
                ClassKind::Background,
                Duration::from_micros(LONG_DEADLINE_US),
            ),
        };
        let now = self.now();
        let class = self.vms[vm]
            .service
            .get_class_keys()
            .nth(position)
            .expect("a class of each kind");
        let arrival = Arrival {
            class,
            kind,
            deadline: now + deadline,
            time_left: None,
            is_replayable: true,
            workspace: None,
        };
        let mut out = std::mem::take(&mut self.out);
        let key = self.vms[vm].service.arrive(now, arrival, &mut out);
        self.vms[vm].calls.insert(key, index);
        self.apply_outputs(vm, out);
    }

    /// Executes the outputs of a core.
    pub(crate) fn apply_outputs(&mut self, vm: usize, mut out: Vec<Output>) {
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
                        self.record_answer(index);
                    }
                }
                Output::Refuse { call, code } => {
                    if let Some(index) = self.vms[vm].calls.remove(&call) {
                        let is_refusal = code.run_state() == gentianridge_core::RunState::NotRun;
                        self.record_loss(index, is_refusal);
                    }
                }
                Output::Cancel { attempt, .. } => self.cancel(vm, attempt),
                Output::Sample { .. } | Output::Event(_) => {}
            }
        }
        self.out = out;
        self.schedule_tick(vm);
    }

    pub(crate) fn schedule_tick(&mut self, vm: usize) {
        let now = self.now();
        let Some(wake) = self.vms[vm].service.next_wake(now) else {
            return;
        };
        let at =
            (wake.saturating_duration_since(self.base).as_micros() as u64 + 1).max(self.now_us + 1);
        if at < self.vms[vm].tick_at_us || self.vms[vm].tick_at_us <= self.now_us {
            self.vms[vm].tick_at_us = at;
            self.push(at, Event::Tick(vm));
        }
    }

    pub(crate) fn tick(&mut self, vm: usize) {
        if self.vms[vm].is_dead || self.vms[vm].tick_at_us != self.now_us {
            return;
        }
        let now = self.now();
        let mut out = std::mem::take(&mut self.out);
        self.vms[vm].service.tick(now, &mut out);
        self.apply_outputs(vm, out);
    }

    pub(crate) fn record_answer(&mut self, index: usize) {
        let call = &mut self.calls[index];
        if call.is_done {
            return;
        }
        call.is_done = true;
        let elapsed = self.now_us - call.at_us;
        let limit = match call.work {
            Work::Short => SHORT_DEADLINE.as_micros() as u64,
            Work::Long => LONG_DEADLINE_US,
        };
        let (work, at_us) = (call.work, call.at_us);
        self.figures
            .get_work_mut(work)
            .record(elapsed, elapsed <= limit);
        self.count_settled(work, at_us, elapsed > limit);
    }

    pub(crate) fn record_loss(&mut self, index: usize, is_refusal: bool) {
        let call = &mut self.calls[index];
        if call.is_done {
            return;
        }
        call.is_done = true;
        let (work, at_us) = (call.work, call.at_us);
        if is_refusal {
            self.figures.get_work_mut(work).refused += 1;
        } else {
            self.figures.get_work_mut(work).failed += 1;
        }
        self.count_settled(work, at_us, true);
    }

    pub(crate) fn count_settled(&mut self, work: Work, at_us: u64, is_lost: bool) {
        if work == Work::Short && at_us >= FAULT_US + SETTLE_US {
            self.figures.settled += 1;
            self.figures.settled_lost += u64::from(is_lost);
        }
    }
}
