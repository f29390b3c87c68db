//! Which calls wait, and which are refused.

use super::super::class::Class;
use super::super::records::Call;
use super::super::target::Target;
use super::super::{Arrival, CallKey, ClassKey, Output, Service};
use super::order::Ahead;
use crate::{ClassKind, ResultCode};
use std::time::{Duration, Instant};

/// Admission of calls.
impl Service {
    /// Creates the record of a call that arrives, with its rank.
    pub(in super::super) fn make_call(
        &mut self,
        now: Instant,
        arrival: Arrival,
        key: ClassKey,
    ) -> Call {
        let waited = self.learn_patience(now, &arrival, key);
        self.describe_call(now, arrival, key, waited)
    }

    /// Returns the record of a call whose caller has waited for some time before, without
    /// learning from it.
    pub(in super::super) fn describe_call(
        &self,
        now: Instant,
        arrival: Arrival,
        key: ClassKey,
        waited: Duration,
    ) -> Call {
        let class = &self.classes[key];
        let spec = &class.spec;
        let useful_until = match spec.objective {
            Some(objective) => arrival.deadline.min(now + objective),
            None => arrival.deadline,
        };
        // The objective counts from the caller's first attempt.
        let first_due = useful_until.checked_sub(waited).unwrap_or(now);
        let is_late = !waited.is_zero() && first_due < now + class.get_expected_time();
        let due = if is_late { useful_until } else { first_due };
        let mut call = Call::new(arrival, key, due, spec.max_attempts);
        call.is_late = is_late;
        call.turn = self
            .turns
            .preview(arrival.workspace, class.answer_times.get_hold_time());
        if let Some(limit) = self.get_stop_limit(now, class, arrival.deadline) {
            call.limit_to_stop(limit);
        }
        call
    }

    /// Learns from the time that the caller states to be left, and returns how long the
    /// caller has waited before.
    fn learn_patience(&mut self, now: Instant, arrival: &Arrival, key: ClassKey) -> Duration {
        let Some(left) = arrival.time_left else {
            return Duration::ZERO;
        };
        let is_calm = self.count_waiting() == 0
            && self
                .last_refusal
                .is_none_or(|at| now.saturating_duration_since(at) > left);
        let patience = &mut self.classes[key].patience;
        let waited = patience.get_waited(left);
        if is_calm {
            patience.record(left);
        }
        waited
    }

    /// Returns the reason for which a new call is refused at once, if there is one.
    pub(in super::super) fn check_admission(
        &self,
        now: Instant,
        call: &Call,
    ) -> Option<ResultCode> {
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
        if call.is_late && self.is_short_of_room(now, class) {
            return Some(ResultCode::GaveWay);
        }
        let ahead = self.count_ahead(class, call.make_rank(expected));
        let is_cold_too_long = now + self.get_cold_left(now) + expected > call.useful_until;
        if !is_cold_too_long && !self.is_hopeless(now, class, ahead, call.useful_until) {
            return None;
        }
        if call.is_cut_short() {
            Some(ResultCode::Stopping)
        } else {
            Some(ResultCode::DeadlineUnreachable)
        }
    }

    /// Returns true if this VM uses its share of the slots and has turned calls away within
    /// the last objective of the class.
    ///
    /// A slot that becomes free then belongs to a call that can be in time, also to one that
    /// arrives in a moment or at another VM.
    pub(in super::super) fn is_short_of_room(&self, now: Instant, class: &Class) -> bool {
        let objective = class.spec.get_objective();
        self.last_turned_away
            .is_some_and(|at| now.saturating_duration_since(at) < objective)
            && self.own_total >= self.get_fair_share()
    }

    /// Records that a call was refused because the service is full.
    pub(in super::super) fn note_refusal(&mut self, now: Instant, is_late: bool) {
        self.last_refusal = Some(now);
        if !is_late {
            self.last_turned_away = Some(now);
        }
    }

    /// Returns true if a call of the class cannot be answered while the answer is useful.
    ///
    /// The slots that are free are counted only where they decide, since that takes a pass
    /// over the targets.
    fn is_hopeless(&self, now: Instant, class: &Class, ahead: Ahead, due: Instant) -> bool {
        let queued = class.get_queued_time();
        if now + self.get_longest_wait(class, ahead) + queued <= due {
            return false;
        }
        let wait = self.estimate_wait_behind(now, class, ahead);
        if wait.is_zero() {
            return now + class.get_expected_time() > due;
        }
        now + wait + queued > due
    }

    /// Refuses the waiting calls that cannot be answered in time any more, the last one of
    /// the order first, so that their callers can use the time that they have left.
    pub(in super::super) fn refuse_hopeless(
        &mut self,
        now: Instant,
        code: ResultCode,
        out: &mut Vec<Output>,
    ) {
        while let Some(key) = self.find_last_class(false) {
            let class = &self.classes[key];
            let Some(last) = class.back() else {
                return;
            };
            let ahead = self.count_ahead_of_last(class);
            if !ahead.is_any() || !self.is_hopeless(now, class, ahead, last.due) {
                return;
            }
            self.refuse_waiting(now, last.call, code, out);
        }
    }

    /// Refuses a waiting call; the code of one that may have run says so.
    fn refuse_waiting(
        &mut self,
        now: Instant,
        key: CallKey,
        code: ResultCode,
        out: &mut Vec<Output>,
    ) {
        self.remove_from_queue(key);
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let code = if call.may_have_run {
            ResultCode::AttemptFailed
        } else if call.is_cut_short() {
            ResultCode::Stopping
        } else {
            code
        };
        let is_late = call.is_late;
        self.note_refusal(now, is_late);
        self.refuse(key, code, out);
    }
}

impl Class {
    /// Returns true if the class holds work that can wait.
    pub(in super::super) fn is_background(&self) -> bool {
        self.spec.kind == ClassKind::Background
    }
}
