//! Coldness of one target in the view of one VM.

use super::{ColdBudget, ColdFleet, ColdPlan};
use crate::add_span;
use std::time::{Duration, Instant};

/// Why a target is treated as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// Its entry or its health answer says so.
    Stated,
    /// It was out of use, and may have started again.
    Suspected,
}

/// Whether a target is cold, and this VM's part of its rate.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdState {
    cold: Option<(Instant, Cause)>,
    /// From when on this VM owns a part of the rate, `None` if it does not.
    owned_from: Option<Instant>,
    budget: ColdBudget,
}

impl ColdState {
    /// Records that the target says it is cold until a time.
    pub fn state(&mut self, until: Instant) {
        let until = match self.cold {
            Some((known, Cause::Stated)) => known.max(until),
            Some((_, Cause::Suspected)) | None => until,
        };
        self.cold = Some((until, Cause::Stated));
    }

    /// Records what a health answer says: the target is cold for `left`, or warm.
    pub fn record_answer(&mut self, now: Instant, left: Duration) {
        self.cold = (!left.is_zero()).then_some((add_span(now, left), Cause::Stated));
    }

    /// Treats the target as cold until a time, or until it says otherwise.
    pub fn suspect(&mut self, now: Instant, until: Instant) {
        let is_stated = matches!(self.cold, Some((end, Cause::Stated)) if end > now);
        if !is_stated {
            self.cold = Some((until, Cause::Suspected));
        }
    }

    /// Sets whether this VM owns a part of the target's rate, while it is cold.
    pub fn set_owner(&mut self, now: Instant, fleet: &ColdFleet, plan: &ColdPlan, target: u64) {
        let was_owned = self.owned_from.is_some();
        self.owned_from = match self.is_cold(now) {
            true => fleet.get_ownership(target, plan.owners),
            false => None,
        };
        if self.owned_from.is_some() && !was_owned {
            self.budget = ColdBudget::start(now, plan.interval);
        }
    }

    /// Returns true if the target is treated as cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold.is_some_and(|(until, _)| now < until)
    }

    /// Returns the end of the time for which the target is treated as cold.
    pub fn get_end(&self) -> Option<Instant> {
        self.cold.map(|(until, _)| until)
    }

    /// Returns true if the target is treated as cold only until it says otherwise.
    pub fn is_suspected(&self, now: Instant) -> bool {
        matches!(self.cold, Some((until, Cause::Suspected)) if now < until)
    }

    /// Returns true if this VM may send a request to the target now.
    pub fn is_open(&self, now: Instant) -> bool {
        !self.is_cold(now) || (self.is_owned(now) && self.budget.is_ready(now))
    }

    /// Returns the time from which this VM may send to the target, unless it says otherwise.
    pub fn get_opening(&self, now: Instant) -> Instant {
        let Some((until, _)) = self.cold.filter(|(until, _)| now < *until) else {
            return now;
        };
        let part = self.owned_from.zip(self.budget.get_next());
        part.map_or(until, |(from, next)| from.max(next).max(now).min(until))
    }

    /// Takes one request of this VM's part; returns false if the target is not cold and none
    /// is needed.
    pub fn take(&mut self, now: Instant, plan: &ColdPlan) -> bool {
        let is_cold = self.is_cold(now);
        if is_cold {
            self.budget.take(now, plan.interval);
        }
        is_cold
    }

    fn is_owned(&self, now: Instant) -> bool {
        self.owned_from.is_some_and(|from| from <= now)
    }
}
