//! Arrival, queueing, expiry and refusal of calls.

use super::class::{Class, QueueEntry};
use super::records::{Call, CallState};
use super::target::Target;
use super::{Arrival, CallKey, ClassKey, Output, Service};
use crate::ResultCode;
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
        if !self.classes[class_key].is_background() {
            self.last_short_arrival = Some(now);
        }
        let call = self.make_call(now, arrival, class_key);
        let refusal = self.check_admission(now, &call);
        let is_late = call.is_late;
        let key = self.calls.insert(call);
        if let Some(code) = refusal {
            self.note_refusal(now, is_late);
            self.refuse(key, code, out);
            return key;
        }
        self.enqueue(key);
        self.refuse_hopeless(now, ResultCode::GaveWay, out);
        self.dispatch_waiting(now, out);
        key
    }

    /// Returns the class that a new call joins: its own, or the first one of its kind if
    /// its own was removed while the caller sent the request.
    pub(super) fn find_arrival_class(&self, arrival: &Arrival) -> Option<ClassKey> {
        let own = self.classes.get(arrival.class);
        if own.is_some_and(|class| class.spec.kind == arrival.kind) {
            return Some(arrival.class);
        }
        self.classes.find_kind(arrival.kind)
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
        let expiry = classes().filter_map(Class::get_first_due);
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
        let class = &mut self.classes[call.class];
        let rank = call.make_rank(class.get_expected_time());
        call.state = CallState::Waiting;
        call.rank = Some(rank);
        self.turns.take(call.workspace, call.turn);
        class.insert(QueueEntry {
            rank,
            due: call.useful_until,
            call: key,
        });
    }

    /// Removes a waiting call from the queue of its class; returns false if it does not
    /// wait.
    pub(super) fn remove_from_queue(&mut self, key: CallKey) -> bool {
        let Some(call) = self.calls.get(key) else {
            return false;
        };
        let Some(rank) = call.rank.filter(|_| call.state == CallState::Waiting) else {
            return false;
        };
        let is_removed = self.classes[call.class].remove(rank, key);
        if is_removed {
            self.turns.give_back(call.workspace, call.turn);
        }
        is_removed
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
                let Some(call) = self.calls.get(front.call) else {
                    continue;
                };
                self.turns.give_back(call.workspace, call.turn);
                let may_have_run = call.may_have_run;
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
            while let Some(entry) = self.classes[key].pop_due(now + margin) {
                if !self.send_expired(now, entry.call, out) {
                    self.refuse_expired(now, entry.call, pause_left, out);
                }
            }
            position += 1;
        }
        self.refuse_hopeless(now, ResultCode::DeadlineUnreachable, out);
    }

    /// Sends a call that waited for load samples until its objective was out of reach, if a
    /// target can take it; returns false if the call is to be refused.
    ///
    /// A process without processor time wakes too late for the last moment of that wait. The
    /// slot is free, and without other waiting calls a late answer is better than none.
    fn send_expired(&mut self, now: Instant, key: CallKey, out: &mut Vec<Output>) -> bool {
        let Some(call) = self.calls.get(key) else {
            return false;
        };
        if call.sampling.rounds == 0 || now >= call.starts_until {
            return false;
        }
        if !self.is_blind_send_useful(now, key) {
            return false;
        }
        let Some(choice) = self.pick(now, key) else {
            return false;
        };
        self.turns.serve(self.calls[key].turn);
        self.start(now, key, choice.target, choice.kind, out);
        true
    }

    fn refuse_expired(
        &mut self,
        now: Instant,
        key: CallKey,
        pause_left: Duration,
        out: &mut Vec<Output>,
    ) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        self.turns.give_back(call.workspace, call.turn);
        let code = if call.may_have_run {
            ResultCode::AttemptFailed
        } else if call.is_cut_short() {
            ResultCode::Stopping
        } else if pause_left.is_zero() {
            ResultCode::DeadlinePassed
        } else {
            ResultCode::TargetsPaused
        };
        let is_late = call.is_late;
        self.note_refusal(now, is_late);
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
