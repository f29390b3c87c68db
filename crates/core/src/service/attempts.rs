//! Handling of answers and failures of attempts.

use super::answer_times::ratio_of;
use super::records::{Attempt, CallState};
use super::{AttemptKey, AttemptKind, CallKey, Outcome, Output, Service, TargetKey};
use crate::{EventKind, ResultCode};
use std::time::{Duration, Instant};

/// Inputs about attempts.
impl Service {
    /// Handles the first byte of an answer.
    ///
    /// `is_error` marks a server error, which counts against the target and
    /// may be retried. `is_retried_by_target` marks an answer whose target has
    /// already retried; it is not retried here, so that retries do not multiply
    /// over levels.
    pub fn answered(
        &mut self,
        now: Instant,
        key: AttemptKey,
        is_error: bool,
        is_retried_by_target: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let (call, target) = (attempt.call, attempt.target);
        if is_error {
            self.counters.failures += 1;
            self.handle_failure(now, target, out);
            if !is_retried_by_target && self.try_retry(now, key, out) {
                return;
            }
        } else {
            self.handle_answer(now, key, out);
        }
        self.deliver(now, call, key, out);
    }

    pub(super) fn handle_answer(&mut self, now: Instant, key: AttemptKey, out: &mut Vec<Output>) {
        let attempt = &self.attempts[key];
        let elapsed = now.saturating_duration_since(attempt.started);
        let (target, kind) = (attempt.target, attempt.kind);
        let answer_times = &mut self.classes[attempt.class].answer_times;
        let ratio = ratio_of(elapsed, answer_times.get_median());
        let has_enough_samples = answer_times.has_enough_samples();
        let is_late = elapsed >= answer_times.get_p95();
        answer_times.record_answer(elapsed);
        if kind == AttemptKind::Hedge {
            self.counters.hedge_wins += 1;
        }
        let state = &mut self.targets[target.get_index()];
        if has_enough_samples {
            state.health.record_time(now, ratio);
        }
        if has_enough_samples && !is_late {
            // Late attempts are counted by their hedge check.
            state.health.record_lateness(false);
        }
        state.limit.on_answer(now, state.own, ratio);
        if state.health.record_success(now, ratio) {
            state.start_warming(now);
            let event = EventKind::TargetReturned {
                service: self.spec.name.clone(),
                target: state.spec.name.clone(),
            };
            out.push(Output::Event(event));
        }
        self.eject_if_slow(now, target, out);
    }

    pub(super) fn deliver(
        &mut self,
        now: Instant,
        call: CallKey,
        key: AttemptKey,
        out: &mut Vec<Output>,
    ) {
        self.attempts[key].is_delivered = true;
        let Some(record) = self.calls.remove(call) else {
            return;
        };
        self.counters.delivered += 1;
        out.push(Output::Deliver { call, attempt: key });
        let losers = record
            .running
            .into_iter()
            .flatten()
            .filter(|other| *other != key);
        let mut is_freed = false;
        for loser in losers {
            self.abort(now, loser, out);
            is_freed = true;
        }
        if is_freed {
            self.dispatch_waiting(now, out);
        }
    }

    /// Handles the end of an answer that was forwarded to the caller.
    pub fn finished(&mut self, now: Instant, key: AttemptKey, out: &mut Vec<Output>) {
        let Some(attempt) = self.release(key) else {
            return;
        };
        let elapsed = now.saturating_duration_since(attempt.started);
        let class = &mut self.classes[attempt.class];
        class.answer_times.record_hold(elapsed);
        self.report_straggler(&attempt, elapsed, out);
        self.dispatch_waiting(now, out);
    }

    pub(super) fn report_straggler(
        &mut self,
        attempt: &Attempt,
        elapsed: Duration,
        out: &mut Vec<Output>,
    ) {
        let answer_times = &self.classes[attempt.class].answer_times;
        if !answer_times.has_enough_samples()
            || elapsed < answer_times.get_p95() * Self::STRAGGLER_FACTOR
        {
            return;
        }
        self.counters.stragglers += 1;
        out.push(Output::Event(EventKind::Straggler {
            service: self.spec.name.clone(),
            target: self.targets[attempt.target.get_index()].spec.name.clone(),
            elapsed_ms: elapsed.as_millis() as u64,
        }));
    }

    /// Multiple of the class's 95th-percentile answer time from which an attempt is a straggler.
    pub(super) const STRAGGLER_FACTOR: u32 = 4;

    /// Handles the end of an attempt without an answer.
    pub fn failed(
        &mut self,
        now: Instant,
        key: AttemptKey,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let (call, target) = (attempt.call, attempt.target);
        self.handle_outcome(now, target, outcome, out);
        if !outcome.is_not_run()
            && let Some(record) = self.calls.get_mut(call)
        {
            record.may_have_run = true;
        }
        if self.try_retry_after(now, key, outcome, out) {
            return;
        }
        self.release(key);
        self.refuse_failed(call, outcome, out);
        self.dispatch_waiting(now, out);
    }

    pub(super) fn handle_outcome(
        &mut self,
        now: Instant,
        target: TargetKey,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        if outcome == Outcome::Refused {
            self.suspect_cold(now, target);
        }
        if outcome.is_target_failure() {
            self.counters.failures += 1;
            self.handle_failure(now, target, out);
            return;
        }
        let state = &mut self.targets[target.get_index()];
        state.health.abandon_trial(now);
        if matches!(outcome, Outcome::Shed | Outcome::Declined) {
            self.counters.sheds += 1;
            self.handle_shed(now, target, out);
        }
    }

    /// Handles a shed: the target is full or has fewer slots than declared.
    ///
    /// The limit is lowered only if the estimated occupancy was more than half a
    /// slot below the slots.
    pub(super) fn handle_shed(&mut self, now: Instant, target: TargetKey, out: &mut Vec<Output>) {
        let fallback = self.get_mean_other_vms_load();
        let hold_time = self.get_hold_time();
        let state = &mut self.targets[target.get_index()];
        let slots = state.get_slots(now);
        let is_unexpected = state.get_occupancy(now, hold_time, fallback) < slots - 0.5;
        if is_unexpected && state.limit.on_shed(now) {
            out.push(Output::Event(EventKind::TargetLimited {
                service: self.spec.name.clone(),
                target: state.spec.name.clone(),
                limit: state.limit.get().round() as u16,
            }));
        }
        state.assume_full(now);
    }

    pub(super) fn refuse_failed(&mut self, key: CallKey, outcome: Outcome, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        if call.count_running() > 0 || call.state == CallState::Waiting {
            return;
        }
        let code = if !call.may_have_run {
            ResultCode::TargetsRefused
        } else if matches!(outcome, Outcome::TimedOut | Outcome::Silent) {
            ResultCode::AttemptTimeout
        } else {
            ResultCode::AttemptFailed
        };
        self.refuse(key, code, out);
    }

    pub(super) fn try_retry_after(
        &mut self,
        now: Instant,
        key: AttemptKey,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) -> bool {
        match outcome {
            Outcome::Withdrawn => self.handle_withdrawn(now, key, out),
            Outcome::TimedOut | Outcome::Declined | Outcome::Quarantined => false,
            Outcome::Shed
            | Outcome::Paused
            | Outcome::PausedUnknown
            | Outcome::Refused
            | Outcome::Broken
            | Outcome::Silent => self.try_retry(now, key, out),
        }
    }

    /// Retries the call of a failed attempt if its class, its deadline and the budgets allow it.
    ///
    /// Returns true if the call is retried or queued for a retry, or if another
    /// attempt of it still runs.
    pub(super) fn try_retry(
        &mut self,
        now: Instant,
        key: AttemptKey,
        out: &mut Vec<Output>,
    ) -> bool {
        let call_key = self.attempts[key].call;
        let Some(call) = self.calls.get(call_key) else {
            return false;
        };
        if call.count_running() > 1 {
            self.release(key);
            return true;
        }
        if !call.is_repeatable() || now >= call.starts_until {
            return false;
        }
        if !self.is_repeat_allowed(now) || !self.retries.try_consume() {
            self.counters.retries_denied += 1;
            return false;
        }
        self.release(key);
        match self.pick_target(now, call_key) {
            Some(target) => self.start(now, call_key, target, AttemptKind::Retry, out),
            None => self.enqueue_again(now, call_key),
        }
        true
    }

    /// Puts a call whose attempt failed back into the queue.
    ///
    /// If its objective can no longer be met, the call stays queued until its
    /// deadline, since a late answer is better than none.
    fn enqueue_again(&mut self, now: Instant, key: CallKey) {
        let call = &mut self.calls[key];
        let margin = self.classes[call.class].get_expected_time();
        if call.useful_until <= now + margin {
            call.is_late = true;
            // `starts_until` is the deadline unless the VM stops.
            call.useful_until = call.deadline.min(call.starts_until + margin);
        }
        self.enqueue(key);
    }

    /// Returns true if the fleet's repeat limit allows one more repeat.
    pub(super) fn is_repeat_allowed(&mut self, now: Instant) -> bool {
        self.fleet_budget
            .as_mut()
            .is_none_or(|budget| budget.has_budget(now))
    }

    /// Removes an attempt and frees its slot.
    pub(super) fn release(&mut self, key: AttemptKey) -> Option<Attempt> {
        let attempt = self.attempts.remove(key)?;
        self.targets[attempt.target.get_index()].release(key, attempt.is_long);
        self.own_total -= 1;
        self.own_short -= u32::from(!attempt.is_long);
        if let Some(call) = self.calls.get_mut(attempt.call) {
            call.stop(key);
        }
        Some(attempt)
    }

    pub(super) fn abort(&mut self, now: Instant, key: AttemptKey, out: &mut Vec<Output>) {
        if let Some(attempt) = self.release(key) {
            let health = &mut self.targets[attempt.target.get_index()].health;
            health.abandon_trial(now);
            out.push(Output::Cancel {
                call: attempt.call,
                attempt: key,
            });
        }
    }
}
