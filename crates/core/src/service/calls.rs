//! Arrival, queueing, expiry and refusal of calls.

use super::class::{Class, QueueEntry};
use super::records::{Call, CallState};
use super::target::Target;
use super::{Arrival, CallKey, ClassKey, Output, Service};
use crate::{ClassKind, ResultCode};
use std::time::{Duration, Instant};

/// Inputs from callers and timers.
impl Service {
    /// Accepts a new call and dispatches, queues or refuses it.
    pub fn arrive(&mut self, now: Instant, arrival: Arrival, out: &mut Vec<Output>) -> CallKey {
        self.counters.arrivals += 1;
        let Some(class_key) = self.find_arrival_class(&arrival) else {
            let call = Call::new(arrival, arrival.class, arrival.deadline, 0);
            let key = self.calls.insert(call);
            self.refuse(key, ResultCode::NoService, out);
            return key;
        };
        let class = &self.classes[class_key];
        if class.spec.kind != ClassKind::Background {
            self.last_short_arrival = Some(now);
        }
        let spec = &class.spec;
        let useful_until = match spec.objective {
            Some(objective) => arrival.deadline.min(now + objective),
            None => arrival.deadline,
        };
        let mut call = Call::new(arrival, class_key, useful_until, spec.max_attempts);
        if let Some(limit) = self.get_stop_limit(now, class, arrival.deadline) {
            call.limit_to_stop(limit);
        }
        let refusal = self.check_admission(now, &call);
        let key = self.calls.insert(call);
        if let Some(code) = refusal {
            self.refuse(key, code, out);
            return key;
        }
        self.enqueue(key);
        self.dispatch_waiting(now, out);
        key
    }

    /// Returns the class that a new call joins: its own, or the first one of its kind if
    /// its own was removed while the caller sent the request.
    fn find_arrival_class(&self, arrival: &Arrival) -> Option<ClassKey> {
        let own = self.classes.get(arrival.class);
        if own.is_some_and(|class| class.spec.kind == arrival.kind) {
            return Some(arrival.class);
        }
        self.classes.find_kind(arrival.kind)
    }

    pub(super) fn check_admission(&self, now: Instant, call: &Call) -> Option<ResultCode> {
        if !self.targets.iter().any(Target::is_usable) {
            return Some(if self.is_emptied() {
                ResultCode::DomainsEmptied
            } else {
                ResultCode::NoTarget
            });
        }
        let class = &self.classes[call.class];
        if class.is_full() {
            return Some(ResultCode::QueueFull);
        }
        let expected = class.get_expected_time();
        let pause_left = self.get_pause_left(now);
        if !pause_left.is_zero() && now + pause_left + expected > call.useful_until {
            return Some(ResultCode::TargetsPaused);
        }
        let wait = self.estimate_wait(class).max(self.get_cold_left(now));
        let finish = now + wait + expected;
        if finish <= call.useful_until {
            return None;
        }
        if call.is_cut_short() {
            Some(ResultCode::Stopping)
        } else {
            Some(ResultCode::DeadlineUnreachable)
        }
    }

    /// Estimates the waiting time of a new call of the class from the calls
    /// ahead of it and the slots that this VM uses.
    pub(super) fn estimate_wait(&self, class: &Class) -> Duration {
        let is_background = class.spec.kind == ClassKind::Background;
        let ahead: usize = self
            .classes
            .iter()
            .filter(|(_, c)| (c.spec.kind == ClassKind::Background) == is_background)
            .map(|(_, c)| c.len())
            .sum();
        if ahead == 0 {
            return Duration::ZERO;
        }
        let slots = if is_background {
            self.targets.iter().map(|t| u32::from(t.long_share)).sum()
        } else {
            self.own_total.max(self.get_fair_share())
        };
        class
            .answer_times
            .get_hold_time()
            .mul_f32(ahead as f32 / slots.max(1) as f32)
    }

    /// Removes a call whose caller has gone and cancels its attempts.
    pub fn cancel(&mut self, now: Instant, key: CallKey, out: &mut Vec<Output>) {
        self.remove_from_queue(key);
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        for attempt in call.running.into_iter().flatten() {
            self.abort(now, attempt, out);
        }
        self.dispatch_waiting(now, out);
    }

    /// Handles everything that is due: refuses expired calls, checks hedges and
    /// dispatches waiting calls to free slots.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.expire(now, out);
        self.check_hedges(now, out);
        self.dispatch_waiting(now, out);
    }

    /// Returns the time at which [`Self::tick`] has to be called at the latest.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let classes = || self.classes.iter().map(|(_, class)| class);
        let expiry = classes().filter_map(Class::front).map(|entry| entry.due);
        let hedge = classes().filter_map(Class::next_check_at);
        let sample = classes().filter_map(|class| self.next_sample_wait_end(now, class));
        let mut wake = expiry.chain(hedge).chain(sample).min();
        if self.count_waiting() > 0 {
            let recheck_at = now + self.get_recheck_interval();
            wake = Some(wake.map_or(recheck_at, |at| at.min(recheck_at)));
        }
        wake
    }

    /// Shortest interval between two dispatch attempts of waiting calls.
    const MIN_RECHECK: Duration = Duration::from_millis(1);
    /// Dispatch attempts of waiting calls within one hold time, in which the weight
    /// of a load report halves.
    const RECHECKS_PER_HOLD: u32 = 10;

    /// Interval between two dispatch attempts of waiting calls. Time alone can free
    /// capacity, since the weight of load reports falls with their age.
    fn get_recheck_interval(&self) -> Duration {
        (self.get_hold_time() / Self::RECHECKS_PER_HOLD).max(Self::MIN_RECHECK)
    }

    pub(super) fn enqueue(&mut self, key: CallKey) {
        let call = &mut self.calls[key];
        call.state = CallState::Waiting;
        let entry = QueueEntry {
            due: call.useful_until,
            call: key,
        };
        self.classes[call.class].insert(entry);
    }

    /// Removes a waiting call from the queue of its class; returns false if it does not
    /// wait.
    pub(super) fn remove_from_queue(&mut self, key: CallKey) -> bool {
        let Some(call) = self.calls.get(key) else {
            return false;
        };
        let entry = QueueEntry {
            due: call.useful_until,
            call: key,
        };
        call.state == CallState::Waiting && self.classes[call.class].remove(entry)
    }

    /// Returns true if operators have emptied the failure domains of all targets that could
    /// be used.
    pub fn is_emptied(&self) -> bool {
        let mut targets = self.targets.iter();
        !targets.clone().any(Target::is_usable) && targets.any(Target::is_held_by_evacuation)
    }

    /// Refuses all waiting calls: how long their targets get nothing is not known.
    fn refuse_emptied(&mut self, out: &mut Vec<Output>) {
        let mut position = 0;
        while let Some(key) = self.classes.get_key(position) {
            while let Some(front) = self.classes[key].pop_front() {
                let may_have_run = self.calls.get(front.call).is_some_and(|c| c.may_have_run);
                let code = if may_have_run {
                    ResultCode::AttemptFailed
                } else {
                    ResultCode::DomainsEmptied
                };
                self.refuse(front.call, code, out);
            }
            position += 1;
        }
    }

    pub(super) fn expire(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.count_waiting() > 0 && self.is_emptied() {
            self.refuse_emptied(out);
        }
        let pause_left = self.get_pause_left(now);
        let mut position = 0;
        while let Some(key) = self.classes.get_key(position) {
            let margin = pause_left + self.classes[key].get_expected_time();
            while let Some(front) = self.classes[key].front() {
                if front.due > now + margin {
                    break;
                }
                self.classes[key].pop_front();
                self.refuse_expired(front.call, pause_left, out);
            }
            position += 1;
        }
    }

    fn refuse_expired(&mut self, key: CallKey, pause_left: Duration, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let code = if call.may_have_run {
            ResultCode::AttemptFailed
        } else if call.is_cut_short() {
            ResultCode::Stopping
        } else if pause_left.is_zero() {
            ResultCode::DeadlinePassed
        } else {
            ResultCode::TargetsPaused
        };
        self.refuse(key, code, out);
    }

    pub(super) fn refuse(&mut self, key: CallKey, code: ResultCode, out: &mut Vec<Output>) {
        if self.calls.remove(key).is_none() {
            return;
        }
        match code.run_state() {
            crate::RunState::NotRun => self.counters.refused_not_run += 1,
            crate::RunState::Unknown => self.counters.refused_unknown += 1,
        }
        out.push(Output::Refuse { call: key, code });
    }
}
