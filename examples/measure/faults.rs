//! Applies the faults of a scenario.

use crate::engine::{Engine, Event, ResponseKind};
use crate::model::SILENCE;
use crate::scenario::FaultChange;
use std::cmp::Reverse;

impl Engine {
    pub(crate) fn apply_fault_change(&mut self, change: FaultChange) {
        match change {
            FaultChange::Slow { target, factor } => self.targets[target].slow_factor = factor,
            FaultChange::FailFast { target, on } => self.targets[target].fails_fast = on,
            FaultChange::LoseDomain => self.lose_domain(),
            FaultChange::UpdateFleet => self.update_fleet(),
        }
    }

    /// Stops all targets and VMs of the first failure domain.
    pub(crate) fn lose_domain(&mut self) {
        for target in self.targets.iter_mut().filter(|target| target.domain == 0) {
            target.is_dead = true;
            let jobs: Vec<usize> = target
                .running
                .drain(..)
                .chain(target.queue.drain(..))
                .collect();
            for job in jobs {
                self.seq += 1;
                let at = self.now_us + SILENCE.as_micros() as u64;
                let event = Event::ResponseArrived(job, ResponseKind::Silent);
                self.heap.push(Reverse((at, self.seq, event)));
            }
        }
        for vm in self.vms.iter_mut().filter(|vm| vm.domain == 0) {
            vm.is_dead = true;
        }
    }

    /// Sets the size of the fleet and the rank of each VM in the cores of the live
    /// VMs.
    pub(crate) fn update_fleet(&mut self) {
        let live: Vec<usize> = (0..self.vms.len())
            .filter(|&vm| !self.vms[vm].is_dead)
            .collect();
        for (rank, &vm) in live.iter().enumerate() {
            let now = self.now();
            let mut out = std::mem::take(&mut self.out);
            self.vms[vm]
                .service
                .set_fleet(now, live.len() as u16, rank as u16, &mut out);
            self.apply_outputs(vm, out);
        }
    }
}
