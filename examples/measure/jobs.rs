//! Jobs on their way, in targets and back.

use crate::engine::{BackKind, Engine, Event};
use crate::model::{Job, SILENCE};
use crate::policy::Policy;
use gentianridge_core::{AttemptKey, LoadReport, Outcome};

/// Time that a target needs to fail fast.
const FAIL_US: u64 = 500;

/// Jobs.
impl Engine {
    pub(crate) fn send(
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
    pub(crate) fn way_there_us(&self, vm: usize, target: usize) -> u64 {
        if self.policy == Policy::Omniscient {
            0
        } else {
            self.travel_us(vm, target)
        }
    }

    pub(crate) fn way_back_us(&self, vm: usize, target: usize) -> u64 {
        2 * self.travel_us(vm, target) - self.way_there_us(vm, target)
    }

    pub(crate) fn is_first(&self, job: usize) -> bool {
        // Retries and hedges are counted by the cores themselves.
        self.policy != Policy::Ours
            || self.vms[self.jobs[job].vm]
                .jobs
                .values()
                .all(|&other| self.jobs[other].call != self.jobs[job].call)
    }

    pub(crate) fn reach(&mut self, job: usize) {
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

    pub(crate) fn serve_target(&mut self, target: usize) {
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

    pub(crate) fn done(&mut self, job: usize) {
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

    pub(crate) fn cancel(&mut self, vm: usize, attempt: AttemptKey) {
        let Some(job) = self.vms[vm].jobs.remove(&attempt) else {
            return;
        };
        let target = self.jobs[job].target;
        self.vms[vm].own[target] -= 1;
        let at = self.now_us + self.travel_us(vm, target);
        self.push(at, Event::CancelReach(job));
    }

    pub(crate) fn cancel_reach(&mut self, job: usize) {
        self.jobs[job].is_cancelled = true;
        let target = self.jobs[job].target;
        let state = &mut self.targets[target];
        state.queue.retain(|&other| other != job);
        state.running.retain(|&other| other != job);
        self.serve_target(target);
    }

    pub(crate) fn back(&mut self, job: usize, kind: BackKind) {
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
    pub(crate) fn make_report(&self, target: usize) -> LoadReport {
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
            work_percent: None,
        }
    }
}
