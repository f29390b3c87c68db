//! Jobs: requests to targets, their processing and the responses.

use crate::engine::{Engine, Event, ResponseKind};
use crate::model::{Job, SILENCE};
use crate::policy::Policy;
use gentianridge_core::{AttemptKey, LoadReport, Outcome};

/// Time that a target needs to fail fast.
const FAIL_FAST_US: u64 = 500;

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
            has_reserved_slot: self.policy == Policy::Omniscient,
            report: LoadReport::default(),
        });
        self.vms[vm].own_in_flight[target] += 1;
        if self.policy != Policy::Ours || attempt.is_some() {
            self.figures.first_attempts += u64::from(self.is_first_attempt(job));
        }
        let at = self.now_us + self.get_request_travel_us(vm, target);
        self.push(at, Event::RequestArrived(job));
        job
    }

    /// Returns the time until a request arrives at its target.
    ///
    /// For the omniscient policy it is 0, so that no slot is idle while a request
    /// is in transit. [`Self::get_response_travel_us`] then includes both
    /// directions.
    pub(crate) fn get_request_travel_us(&self, vm: usize, target: usize) -> u64 {
        if self.policy == Policy::Omniscient {
            0
        } else {
            self.get_travel_us(vm, target)
        }
    }

    pub(crate) fn get_response_travel_us(&self, vm: usize, target: usize) -> u64 {
        2 * self.get_travel_us(vm, target) - self.get_request_travel_us(vm, target)
    }

    pub(crate) fn is_first_attempt(&self, job: usize) -> bool {
        // The cores count retries and hedges.
        self.policy != Policy::Ours
            || self.vms[self.jobs[job].vm]
                .jobs
                .values()
                .all(|&other| self.jobs[other].call != self.jobs[job].call)
    }

    pub(crate) fn receive_request(&mut self, job: usize) {
        let Job {
            target,
            vm,
            is_cancelled,
            ..
        } = self.jobs[job];
        if is_cancelled {
            return;
        }
        let travel = self.get_response_travel_us(vm, target);
        self.jobs[job].report = self.make_report(target);
        let state = &mut self.targets[target];
        if state.is_dead {
            let at = self.now_us + SILENCE.as_micros() as u64 - travel;
            self.push(at, Event::ResponseArrived(job, ResponseKind::Silent));
        } else if state.fails_fast {
            self.push(
                self.now_us + FAIL_FAST_US + travel,
                Event::ResponseArrived(job, ResponseKind::Error),
            );
        } else if state.is_full() {
            self.push(
                self.now_us + travel,
                Event::ResponseArrived(job, ResponseKind::Shed),
            );
        } else {
            state.queue.push_back(job);
            self.start_queued(target);
        }
    }

    pub(crate) fn start_queued(&mut self, target: usize) {
        while self.targets[target].running.len() < self.targets[target].slots {
            let Some(job) = self.targets[target].queue.pop_front() else {
                break;
            };
            self.targets[target].running.push(job);
            let call = self.jobs[job].call;
            let factor = u64::from(self.targets[target].slow_factor);
            let at = self.now_us + self.calls[call].service_us * factor;
            self.push(at, Event::RequestCompleted(job));
        }
        let keep = self.scenario.get_report_age_us() + 1_000;
        let now = self.now_us;
        self.targets[target].record_in_flight(now, keep);
    }

    pub(crate) fn complete_request(&mut self, job: usize) {
        let Job { target, vm, .. } = self.jobs[job];
        let Some(index) = self.targets[target]
            .running
            .iter()
            .position(|&other| other == job)
        else {
            return;
        };
        let travel = self.get_response_travel_us(vm, target);
        self.jobs[job].report = self.make_report(target);
        self.push(
            self.now_us + travel,
            Event::ResponseArrived(job, ResponseKind::Answer),
        );
        self.targets[target].running.swap_remove(index);
        self.release_slot(job);
        self.start_queued(target);
        self.dispatch_central();
    }

    pub(crate) fn cancel(&mut self, vm: usize, attempt: AttemptKey) {
        let Some(job) = self.vms[vm].jobs.remove(&attempt) else {
            return;
        };
        let target = self.jobs[job].target;
        self.vms[vm].own_in_flight[target] -= 1;
        let at = self.now_us + self.get_travel_us(vm, target);
        self.push(at, Event::CancelArrived(job));
    }

    pub(crate) fn receive_cancel(&mut self, job: usize) {
        self.jobs[job].is_cancelled = true;
        let target = self.jobs[job].target;
        let state = &mut self.targets[target];
        state.queue.retain(|&other| other != job);
        state.running.retain(|&other| other != job);
        self.start_queued(target);
    }

    pub(crate) fn receive_response(&mut self, job: usize, kind: ResponseKind) {
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
        self.vms[vm].reported_in_flight[target] = report.in_flight;
        let Some(attempt) = attempt else {
            self.vms[vm].own_in_flight[target] -= 1;
            match kind {
                ResponseKind::Answer => self.record_answer(call),
                _ => self.record_loss(call, false),
            }
            self.release_slot(job);
            return;
        };
        if self.vms[vm].jobs.remove(&attempt).is_none() {
            return;
        }
        self.vms[vm].own_in_flight[target] -= 1;
        let now = self.now();
        let mut out = std::mem::take(&mut self.out);
        let service = &mut self.vms[vm].service;
        let key = service
            .find_target(&format!("t{target}"))
            .expect("every simulated target is declared");
        if kind != ResponseKind::Silent {
            service.report(now, key, Some(attempt), report, &mut out);
        }
        match kind {
            ResponseKind::Answer | ResponseKind::Error => {
                service.answered(now, attempt, kind == ResponseKind::Error, false, &mut out);
                service.finished(now, attempt, &mut out);
            }
            ResponseKind::Shed => service.failed(now, attempt, Outcome::Shed, &mut out),
            ResponseKind::Silent => service.failed(now, attempt, Outcome::Silent, &mut out),
        }
        self.apply_outputs(vm, out);
    }

    /// Returns the load report of a target.
    ///
    /// When a request completes, the report still counts it.
    pub(crate) fn make_report(&self, target: usize) -> LoadReport {
        let age = self.scenario.get_report_age_us();
        let in_flight = if age > 0 {
            self.targets[target].get_in_flight_at(self.now_us.saturating_sub(age))
        } else {
            self.targets[target].get_in_flight()
        };
        LoadReport {
            in_flight: if self.scenario.is_misreporting(target) {
                0
            } else {
                in_flight
            },
            slots: None,
            is_leaving: false,
            work_percent: None,
        }
    }
}
