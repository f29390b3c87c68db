//! The policies with which the core is compared.

use crate::engine::Engine;
use crate::model::SHORT_DEADLINE;
use crate::policy::Policy;
use rand::RngExt;

/// Time before the deadline, in microseconds, at which the omniscient queue
/// refuses a call.
///
/// It covers 99% of the service times plus the round trip, so that hardly any
/// slot is used for an answer that arrives after the deadline.
const DEADLINE_MARGIN_US: u64 = 26_000;

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

    /// Assigns each free slot to the call that has waited longest, short work
    /// first.
    pub(crate) fn dispatch_central(&mut self) {
        if self.policy != Policy::Omniscient {
            return;
        }
        while let Some(target) = self.find_free_target() {
            let Some(call) = self.pop_central() else {
                return;
            };
            self.reserved_slots[target] += 1;
            let vm = self.calls[call].vm;
            self.send(call, vm, target, None);
        }
    }

    /// Returns a live target with a free slot, from a random start.
    pub(crate) fn find_free_target(&mut self) -> Option<usize> {
        let count = self.targets.len();
        let start = self.rng.random_range(0..count);
        (0..count)
            .map(|offset| (start + offset) % count)
            .find(|&target| {
                !self.targets[target].is_dead
                    && self.reserved_slots[target] < self.targets[target].slots
            })
    }

    /// Takes the next call, and refuses short calls that cannot meet their
    /// deadline.
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
