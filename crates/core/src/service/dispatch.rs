//! Dispatch of waiting calls, and hedging.

use super::answer_times::ratio_of;
use super::class::HedgeCheck;
use super::records::Attempt;
use super::{AttemptKey, AttemptKind, CallKey, ClassKey, Output, Service, TargetKey};
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
        while let Some(class) = self.find_next_class(false) {
            if !self.dispatch_front(now, class, out) {
                break;
            }
        }
        // Background work is not dispatched while short work waits.
        if self.find_next_class(false).is_some() {
            return;
        }
        while let Some(class) = self.find_next_class(true) {
            if !self.dispatch_front(now, class, out) {
                break;
            }
        }
    }

    pub(super) fn dispatch_front(
        &mut self,
        now: Instant,
        class: ClassKey,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(front) = self.classes[class].front() else {
            return false;
        };
        if !self.try_finish_sampling(now, front.call, out) {
            return false;
        }
        let Some(choice) = self.pick(now, front.call) else {
            return false;
        };
        self.classes[class].pop_front();
        self.turns.serve(self.calls[front.call].turn);
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
        let is_long = self.classes[class].spec.kind == ClassKind::Background;
        let has_cold_claim = self.take_cold_claim(now, target);
        let attempt = self.attempts.insert(Attempt {
            call: key,
            class,
            target,
            kind,
            started: now,
            is_delivered: false,
            is_long,
            has_cold_claim,
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
        self.classes[class].hedge_checks.push_back(check);
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
        let mut position = 0;
        while let Some(class) = self.classes.get_key(position) {
            while let Some(check) = self.classes[class].pop_due_check(now) {
                self.check_hedge(now, class, check, out);
            }
            position += 1;
        }
    }

    pub(super) fn check_hedge(
        &mut self,
        now: Instant,
        class: ClassKey,
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
            self.handle_late_attempt(now, class, target, check.started, out);
        }
        if kind == AttemptKind::Hedge {
            self.cancel_late_hedge(now, key, check.attempt, out);
            return;
        }
        let is_hedge_allowed = self
            .calls
            .get(key)
            .is_some_and(|call| call.is_hedgeable(now))
            && (kind == AttemptKind::Trial || self.hedges.has_token())
            && self.is_repeat_allowed(now);
        if !is_hedge_allowed {
            return;
        }
        if self.request_hedge_samples(now, class, key, check, out) {
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
        class: ClassKey,
        target: TargetKey,
        started: Instant,
        out: &mut Vec<Output>,
    ) {
        let answer_times = &self.classes[class].answer_times;
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
