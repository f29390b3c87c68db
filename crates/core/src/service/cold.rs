//! Requests to targets that have just started.

use super::target::Target;
use super::{AttemptKey, Output, Service, TargetKey};
use crate::{ColdFleet, ColdPlan, add_span};
use std::time::{Duration, Instant};

/// Cold targets, of services that have a rate for them.
impl Service {
    /// Longest time from the choice of a cold target to the send. A part of the rate that is
    /// used later would add to the next ones, for example after the process was paused.
    const MAX_CLAIM_AGE: Duration = Duration::from_millis(250);

    /// Sets how the rate of cold targets is shared, `None` if the service has none.
    pub fn set_cold_plan(&mut self, now: Instant, plan: Option<ColdPlan>) {
        if self.cold_plan == plan {
            return;
        }
        self.cold_plan = plan;
        for target in &mut self.targets {
            target.cold = Default::default();
            if let Some(until) = target.spec.cold_until.filter(|_| plan.is_some()) {
                target.cold.state(until);
            }
        }
        self.assign_cold_owners(now);
    }

    /// Sets the VMs among which the owners of cold targets are chosen.
    pub fn set_cold_fleet(&mut self, now: Instant, fleet: ColdFleet) {
        self.cold_fleet = fleet;
        self.assign_cold_owners(now);
    }

    /// Records for how long a target is cold by its answer to a load request; returns true
    /// if it was not known to be cold.
    pub fn record_cold_answer(
        &mut self,
        now: Instant,
        key: TargetKey,
        left: Duration,
        out: &mut Vec<Output>,
    ) -> bool {
        if self.cold_plan.is_none() {
            return false;
        }
        let Some(target) = self.targets.get_mut(key.get_index()) else {
            return false;
        };
        let was_cold = target.cold.is_cold(now);
        let was_suspected = target.cold.is_suspected(now);
        target.cold.record_answer(now, left);
        if left.is_zero() {
            if was_cold && self.count_waiting() > 0 {
                self.dispatch_waiting(now, out);
            }
            return false;
        }
        self.assign_cold_owners(now);
        !was_cold || was_suspected
    }

    /// Returns true if an attempt may be sent now; the check belongs directly before the
    /// send. An attempt at a cold target needs a part of its rate that was taken just before.
    pub fn claim_send(&mut self, now: Instant, key: AttemptKey) -> bool {
        let (Some(attempt), Some(plan)) = (self.attempts.get(key), self.cold_plan) else {
            return true;
        };
        let cold = &mut self.targets[attempt.target.get_index()].cold;
        let age = now.saturating_duration_since(attempt.started);
        let has_claim = attempt.has_cold_claim && age <= Self::MAX_CLAIM_AGE;
        if has_claim || !cold.is_cold(now) {
            return true;
        }
        cold.is_open(now) && cold.take(now, &plan)
    }

    /// Returns the time until a cold target may get a request of this VM if no other target
    /// may, otherwise zero.
    pub fn get_cold_left(&self, now: Instant) -> Duration {
        if self.cold_plan.is_none() {
            return Duration::ZERO;
        }
        let usable = self.targets.iter().filter(|target| target.is_usable());
        let openings = usable.map(|target| match target.cold.is_suspected(now) {
            true => now,
            false => target.cold.get_opening(now),
        });
        let first = openings.min().unwrap_or(now);
        first.saturating_duration_since(now)
    }

    /// Treats a target as cold until it says otherwise, because it may have started again.
    pub(super) fn suspect_cold(&mut self, now: Instant, key: TargetKey) {
        if let Some(plan) = self.cold_plan {
            let cold = &mut self.targets[key.get_index()].cold;
            cold.suspect(now, add_span(now, plan.warm_up));
        }
    }

    /// Takes a part of the rate for an attempt; returns false if the target is not cold.
    pub(super) fn take_cold_claim(&mut self, now: Instant, key: TargetKey) -> bool {
        let plan = self.cold_plan;
        plan.is_some_and(|plan| self.targets[key.get_index()].cold.take(now, &plan))
    }

    /// Decides for each cold target whether this VM sends a part of its rate.
    pub(super) fn assign_cold_owners(&mut self, now: Instant) {
        let Some(plan) = self.cold_plan else {
            return;
        };
        for target in self.targets.iter_mut().filter(|target| !target.is_removed) {
            let digest = target.spec.get_incarnation().get_digest();
            target.cold.set_owner(now, &self.cold_fleet, &plan, digest);
        }
    }
}

impl Target {
    /// Updates the coldness after the declaration `old` was replaced by the current one.
    pub(super) fn update_cold(&mut self, now: Instant, old: &crate::TargetSpec, plan: ColdPlan) {
        if let Some(until) = self.spec.cold_until
            && old.cold_until != self.spec.cold_until
        {
            self.cold.state(until);
        }
        if old.is_emptied && !self.spec.is_emptied {
            self.cold.suspect(now, add_span(now, plan.warm_up));
        }
    }
}
