//! Targets that requested a pause, and attempts that are withdrawn before the send.

use super::{AttemptKey, AttemptKind, Output, Service, TargetKey};
use std::time::{Duration, Instant};

impl Service {
    /// Withdrawals of one call after which it is refused.
    const MAX_WITHDRAWALS: u8 = 8;

    /// Returns the time until the first target returns if all are paused, otherwise zero.
    pub fn get_pause_left(&self, now: Instant) -> Duration {
        let mut first: Option<Instant> = None;
        for target in self.targets.iter().filter(|target| target.is_usable()) {
            let Some(until) = target.spec.paused_until.filter(|until| *until > now) else {
                return Duration::ZERO;
            };
            first = Some(first.map_or(until, |first| first.min(until)));
        }
        first.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Records that a target requested a pause from a peer.
    ///
    /// The pause binds only that peer. For this VM it is a sign of load: the target
    /// counts as full until its next report.
    pub fn record_peer_pause(&mut self, now: Instant, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key.get_index()) {
            target.assume_full(now);
        }
    }

    /// Queues the call of an attempt whose target left or is paused before the request
    /// was sent; returns false if the call has to be refused.
    ///
    /// Nothing was sent, so the attempt does not count as an arrival at the target.
    pub(super) fn requeue_withdrawn(&mut self, now: Instant, key: AttemptKey) -> bool {
        let Some(attempt) = self.release(key) else {
            return false;
        };
        if let Some(budget) = &mut self.fleet_budget {
            match attempt.kind {
                AttemptKind::First | AttemptKind::Trial => budget.withdraw_first(),
                AttemptKind::Retry | AttemptKind::Hedge => budget.withdraw_repeat(),
            }
        }
        let Some(call) = self.calls.get_mut(attempt.call) else {
            return false;
        };
        call.forget_attempt(attempt.target);
        if call.count_running() > 0 {
            return true;
        }
        call.withdrawals += 1;
        if call.withdrawals > Self::MAX_WITHDRAWALS || now >= call.deadline {
            return false;
        }
        self.enqueue(attempt.call);
        true
    }

    /// Handles the end of an attempt that was withdrawn before the send.
    pub(super) fn handle_withdrawn(
        &mut self,
        now: Instant,
        key: AttemptKey,
        out: &mut Vec<Output>,
    ) -> bool {
        let is_queued = self.requeue_withdrawn(now, key);
        if is_queued {
            self.dispatch_waiting(now, out);
        }
        is_queued
    }
}
