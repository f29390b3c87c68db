//! The policies that are compared with the core.

use crate::engine::Engine;
use crate::model::SHORT_DEADLINE;
use crate::policy::Policy;
use rand::RngExt;

/// Time before the deadline at which the omniscient queue gives a call up.
///
/// It covers 99 in 100 service times and the way there and back, so that
/// hardly any slot is spent on an answer that comes too late.
const DEADLINE_MARGIN_US: u64 = 26_000;

/// Baselines.
impl Engine {
    pub(crate) fn choose_target(&mut self, vm: usize) -> usize {
        let count = self.targets.len();
        match self.policy {
            Policy::RoundRobin => {
                self.vms[vm].round_robin_index += 1;
                self.vms[vm].round_robin_index % count
            }
            Policy::LeastInFlight => {
                let start = self.rng.random_range(0..count);
                (0..count)
                    .map(|offset| (start + offset) % count)
                    .min_by_key(|&target| self.vms[vm].own_in_flight[target])
                    .unwrap_or(start)
            }
            Policy::TwoChoices => {
                let first = self.rng.random_range(0..count);
                let second = self.rng.random_range(0..count);
                let load = |target: usize| {
                    self.vms[vm].reported_in_flight[target].max(self.vms[vm].own_in_flight[target])
                };
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
    pub(crate) fn dispatch_central(&mut self) {
        if self.policy != Policy::Omniscient {
            return;
        }
        while let Some(target) = self.find_free_slot() {
            let Some(call) = self.pop_central() else {
                return;
            };
            self.reserved_slots[target] += 1;
            let vm = self.calls[call].vm;
            self.send(call, vm, target, None);
        }
    }

    pub(crate) fn find_free_slot(&mut self) -> Option<usize> {
        let count = self.targets.len();
        let start = self.rng.random_range(0..count);
        (0..count)
            .map(|offset| (start + offset) % count)
            .find(|&target| {
                !self.targets[target].is_dead
                    && self.reserved_slots[target] < self.targets[target].slots
            })
    }

    pub(crate) fn pop_central(&mut self) -> Option<usize> {
        while let Some(call) = self.central_queues[0].pop_front() {
            let waited = self.now_us - self.calls[call].at_us;
            if waited + DEADLINE_MARGIN_US <= SHORT_DEADLINE.as_micros() as u64 {
                return Some(call);
            }
            self.record_loss(call, true);
        }
        self.central_queues[1].pop_front()
    }

    pub(crate) fn release_slot(&mut self, job: usize) {
        if self.jobs[job].has_reserved_slot {
            self.jobs[job].has_reserved_slot = false;
            self.reserved_slots[self.jobs[job].target] -= 1;
        }
    }
}
