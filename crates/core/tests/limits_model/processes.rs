//! Processes of the VMs of the model: how they end, start, and learn of other VMs.

use super::{Event, LIST_PERIOD, Model, Mutant, SEEDS};
use rand::RngExt;
use std::time::Duration;

impl Model {
    /// Ends the process of a VM and starts another.
    pub(crate) fn restart(&mut self, index: usize) {
        self.kill(index);
        self.revive(index);
    }

    /// Ends the process of a VM.
    pub(crate) fn kill(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        vm.is_up = false;
        vm.process += 1;
        vm.waiting.clear();
        vm.known.clear();
    }

    /// Stops the process of a VM as planned: it removes its row.
    pub(crate) fn stop(&mut self, index: usize) {
        self.vms[index].has_row &= self.is_store_away;
        self.kill(index);
    }

    /// Starts a process on a VM that has none.
    pub(crate) fn revive(&mut self, index: usize) {
        if self.vms[index].is_up {
            return;
        }
        self.start_process(index, false);
        for seed in 0..SEEDS.min(self.vms.len()) {
            if seed != index && self.is_reached(seed, index) {
                let mut named = self.vms[seed].known.clone();
                named.insert(seed);
                // A seed names those that have sent something lately.
                let heard = self.now.saturating_sub(LIST_PERIOD);
                named.retain(|peer| {
                    self.is_reached(*peer, seed) && self.vms[*peer].started_at <= heard
                });
                let delay = self.seed_delay.mul_f64(self.rng.random());
                let reply = Event::SeedReply(self.get_process(index), named.into_iter().collect());
                self.schedule(self.now + Duration::from_millis(1) + delay, reply);
            }
        }
        self.register(index);
    }

    pub(super) fn start_process(&mut self, index: usize, is_first_start: bool) {
        let limits = self.make_limits(index, is_first_start);
        let vm = &mut self.vms[index];
        vm.limits = limits;
        vm.is_up = true;
        vm.started_at = self.now;
        vm.tick_at = None;
        self.schedule(self.now, Event::List(self.get_process(index)));
    }

    /// Registers a VM and has it read the rows, or tries again later.
    pub(super) fn register(&mut self, index: usize) {
        let delay = Duration::from_millis(self.rng.random_range(10..60));
        if self.is_store_away {
            self.schedule(
                self.now + delay * 10,
                Event::ReadRows(self.get_process(index), false),
            );
            return;
        }
        let had_row = std::mem::replace(&mut self.vms[index].has_row, true);
        self.schedule(
            self.now + delay,
            Event::ReadRows(self.get_process(index), had_row),
        );
    }

    pub(super) fn read_rows(&mut self, index: usize, is_returning: bool) {
        if self.mutant == Mutant::TrustsOnePeer {
            return;
        }
        if self.is_store_away || !self.vms[index].has_row {
            self.register(index);
            return;
        }
        let rows = (0..self.vms.len()).filter(|vm| self.vms[*vm].has_row);
        let rows: Vec<usize> = rows.collect();
        self.vms[index].known.extend(rows);
        self.list(index);
        let now = self.read_clock(index);
        let is_returning = is_returning || self.mutant == Mutant::NewIsReturning;
        self.vms[index].limits.set_fleet_listed(now, is_returning);
    }
}
