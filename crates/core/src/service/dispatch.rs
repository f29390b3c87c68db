//! Dispatch of waiting calls, and hedging.

use super::answer_times::ratio_of;
use super::class::HedgeCheck;
use super::records::{Attempt, Call};
use super::{AttemptKey, AttemptKind, CallKey, Output, Service, TargetKey};
use crate::ClassKind;
use std::time::Instant;

/// Dispatching and hedging.
impl Service {
    /// Dispatches waiting calls while targets have capacity.
    pub(super) fn dispatch_waiting(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.expire(now, out);
        if self.short_demand.observe(now, self.own_short) {
            self.assign_long_slots();
        }
        while let Some(index) = self.find_next_class(false) {
            if !self.dispatch_front(now, index, out) {
                break;
            }
        }
        // Background work is not dispatched while short work waits.
        if self.find_next_class(false).is_some() {
            return;
        }
        while let Some(index) = self.find_next_class(true) {
            if !self.dispatch_front(now, index, out) {
                break;
            }
        }
    }

    /// Returns the class whose first waiting call comes next: the one with the
    /// smallest priority number, and among equals the earliest due time.
    pub(super) fn find_next_class(&self, is_background: bool) -> Option<usize> {
        self.classes
            .iter()
            .enumerate()
            .filter(|(_, class)| (class.spec.kind == ClassKind::Background) == is_background)
            .filter_map(|(index, class)| {
                let front = class.front()?;
                Some((class.spec.priority, front.due, index))
            })
            .min()
            .map(|(_, _, index)| index)
    }

    pub(super) fn dispatch_front(
        &mut self,
        now: Instant,
        index: usize,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(front) = self.classes[index].front() else {
            return false;
        };
        if !self.try_finish_sampling(now, front.call, out) {
            return false;
        }
        let Some(choice) = self.pick(now, front.call) else {
            return false;
        };
        self.classes[index].pop_front();
        self.start(now, front.call, choice.target, choice.kind, out);
        true
    }

    pub(super) fn start(
        &mut self,
        now: Instant,
        key: CallKey,
        target: TargetKey,
        kind: AttemptKind,
        out: &mut Vec<Output>,
    ) {
        let class = self.calls[key].class;
        let is_long = self.classes[class.get_index()].spec.kind == ClassKind::Background;
        let attempt = self.attempts.insert(Attempt {
            call: key,
            class,
            target,
            kind,
            started: now,
            is_delivered: false,
            is_long,
        });
        self.calls[key].start(attempt, target);
        self.occupy(target, attempt, is_long);
        self.count_start(now, kind);
        if kind == AttemptKind::Trial {
            self.targets[target.get_index()].health.start_trial();
        }
        let check = HedgeCheck {
            started: now,
            attempt,
            rounds: 0,
        };
        self.classes[class.get_index()]
            .hedge_checks
            .push_back(check);
        out.push(Output::Dispatch {
            call: key,
            attempt,
            target,
            kind,
        });
    }

    pub(super) fn count_start(&mut self, now: Instant, kind: AttemptKind) {
        if let Some(budget) = &mut self.fleet_budget {
            match kind {
                AttemptKind::First | AttemptKind::Trial => budget.count_first(now),
                AttemptKind::Retry | AttemptKind::Hedge => budget.count_repeat(now),
            }
        }
        match kind {
            AttemptKind::First | AttemptKind::Trial => {
                self.counters.first_attempts += 1;
                self.retries.deposit();
                self.hedges.deposit();
            }
            AttemptKind::Retry => self.counters.retries += 1,
            AttemptKind::Hedge => self.counters.hedges += 1,
        }
    }

    pub(super) fn occupy(&mut self, target: TargetKey, attempt: AttemptKey, is_long: bool) {
        self.targets[target.get_index()].occupy(attempt, is_long);
        self.own_total += 1;
        self.own_short += u32::from(!is_long);
    }

    pub(super) fn check_hedges(&mut self, now: Instant, out: &mut Vec<Output>) {
        for index in 0..self.classes.len() {
            while let Some(check) = self.classes[index].pop_due_check(now) {
                self.check_hedge(now, index, check, out);
            }
        }
    }

    pub(super) fn check_hedge(
        &mut self,
        now: Instant,
        index: usize,
        check: HedgeCheck,
        out: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.attempts.get(check.attempt) else {
            return;
        };
        if attempt.is_delivered {
            return;
        }
        let (key, target, kind) = (attempt.call, attempt.target, attempt.kind);
        if check.rounds == 0 {
            self.handle_late_attempt(now, index, target, check.started, out);
        }
        if kind == AttemptKind::Hedge {
            self.cancel_late_hedge(now, key, check.attempt, out);
            return;
        }
        let is_hedge_allowed = self.classes[index].spec.kind == ClassKind::Interactive
            && self
                .calls
                .get(key)
                .is_some_and(|call| is_hedgeable(call, now))
            && (kind == AttemptKind::Trial || self.hedges.has_token())
            && self.is_repeat_allowed(now);
        if !is_hedge_allowed {
            return;
        }
        if self.request_hedge_samples(now, index, key, check, out) {
            return;
        }
        let Some(hedge_target) = self.pick_hedge_target(now, key) else {
            return;
        };
        if kind != AttemptKind::Trial {
            self.hedges.try_consume();
        }
        self.start(now, key, hedge_target, AttemptKind::Hedge, out);
    }

    /// Cancels a hedge that is late as well, if another attempt still runs.
    ///
    /// Lateness on two targets indicates long work, and the first attempt is
    /// closer to its end.
    pub(super) fn cancel_late_hedge(
        &mut self,
        now: Instant,
        key: CallKey,
        hedge: AttemptKey,
        out: &mut Vec<Output>,
    ) {
        let has_other_attempt = self
            .calls
            .get(key)
            .is_some_and(|call| call.count_running() > 1);
        if has_other_attempt {
            self.abort(now, hedge, out);
            self.dispatch_waiting(now, out);
        }
    }

    /// Counts a late unanswered attempt against its target.
    pub(super) fn handle_late_attempt(
        &mut self,
        now: Instant,
        index: usize,
        target: TargetKey,
        started: Instant,
        out: &mut Vec<Output>,
    ) {
        let answer_times = &self.classes[index].answer_times;
        if !answer_times.has_enough_samples() {
            return;
        }
        let ratio = ratio_of(
            now.saturating_duration_since(started),
            answer_times.get_median(),
        );
        let health = &mut self.targets[target.get_index()].health;
        health.record_time(now, ratio);
        health.record_lateness(true);
        self.eject_if_slow(now, target, out);
    }
}

fn is_hedgeable(call: &Call, now: Instant) -> bool {
    call.is_replayable
        && call.count_running() == 1
        && call.has_attempts_left()
        && now < call.starts_until
}
