//! Which call goes next, and what goes before a call.

use super::super::class::Class;
use super::super::{ClassKey, Service};
use super::Rank;
use std::time::{Duration, Instant};

/// The order of the waiting calls.
impl Service {
    /// Returns the class whose first waiting call comes next: the one with the smallest
    /// priority number, and among equals the lowest rank.
    pub(in super::super) fn find_next_class(&self, is_background: bool) -> Option<ClassKey> {
        self.iter_waiting(is_background)
            .filter_map(|(key, class)| {
                let front = class.front()?;
                Some((class.spec.priority, front.rank, key))
            })
            .min()
            .map(|(_, _, key)| key)
    }

    /// Returns the class whose last waiting call comes last of all.
    pub(super) fn find_last_class(&self, is_background: bool) -> Option<ClassKey> {
        self.iter_waiting(is_background)
            .filter_map(|(key, class)| {
                let back = class.back()?;
                Some((class.spec.priority, back.rank, key))
            })
            .max()
            .map(|(_, _, key)| key)
    }

    /// Estimates how long a new call of the class with the rank waits: for the work of the
    /// calls before it, on the slots that this VM uses.
    ///
    /// Slots that are free now take calls without a wait.
    pub(in super::super) fn estimate_wait(
        &self,
        now: Instant,
        class: &Class,
        rank: Rank,
    ) -> Duration {
        let ahead = self.count_ahead(class, rank);
        self.estimate_wait_behind(now, class, ahead)
    }

    /// Returns the waiting calls that go before a new one of the class with the rank.
    pub(super) fn count_ahead(&self, class: &Class, rank: Rank) -> Ahead {
        let mut ahead = Ahead::default();
        for (_, other) in self.iter_waiting(class.is_background()) {
            let count = count_before(other, class.spec.priority, rank);
            ahead.add(count, other.answer_times.get_hold_time());
        }
        ahead
    }

    /// Returns the number of waiting calls that go before a new one of the class.
    pub(in super::super) fn count_calls_ahead(&self, class: &Class, rank: Rank) -> usize {
        self.count_ahead(class, rank).calls
    }

    /// Returns the waiting calls that go before the last one of all, which belongs to the
    /// class.
    pub(super) fn count_ahead_of_last(&self, class: &Class) -> Ahead {
        let mut ahead = Ahead::default();
        for (_, other) in self.iter_waiting(class.is_background()) {
            let own = usize::from(std::ptr::eq(other, class));
            ahead.add(other.len() - own, other.answer_times.get_hold_time());
        }
        ahead
    }

    /// Estimates how long a call of the class waits behind others.
    pub(super) fn estimate_wait_behind(
        &self,
        now: Instant,
        class: &Class,
        ahead: Ahead,
    ) -> Duration {
        let longest = self.get_longest_wait(class, ahead);
        if longest.is_zero() || class.is_background() {
            return longest;
        }
        let delayed = ahead.calls.saturating_sub(self.count_free_slots(now));
        longest.mul_f32(delayed as f32 / ahead.calls as f32)
    }

    /// Returns the wait of a call of the class behind others if no slot is free.
    pub(super) fn get_longest_wait(&self, class: &Class, ahead: Ahead) -> Duration {
        if ahead.calls == 0 {
            return Duration::ZERO;
        }
        let slots = if class.is_background() {
            self.targets.iter().map(|t| u32::from(t.long_share)).sum()
        } else {
            self.own_total.max(self.get_fair_share())
        };
        ahead.work / slots.max(1)
    }

    /// Estimates the slots of all targets that no VM uses now.
    fn count_free_slots(&self, now: Instant) -> usize {
        let fallback = self.get_mean_other_vms_load();
        let hold_time = self.get_hold_time();
        self.targets
            .iter()
            .filter(|target| {
                target.is_usable() && target.health.is_active() && !target.is_paused(now)
            })
            .map(|target| {
                let free = target.get_slots(now) - target.get_occupancy(now, hold_time, fallback);
                free.max(0.0) as usize
            })
            .sum()
    }

    fn iter_waiting(&self, is_background: bool) -> impl Iterator<Item = (ClassKey, &Class)> {
        self.classes
            .iter()
            .filter(move |(_, class)| class.is_background() == is_background && class.len() > 0)
    }
}

/// Waiting calls that go before another one.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Ahead {
    calls: usize,
    /// Time for which they occupy a slot, in total.
    work: Duration,
}

impl Ahead {
    /// Returns true if any call goes before.
    pub(super) fn is_any(self) -> bool {
        self.calls > 0
    }

    fn add(&mut self, calls: usize, hold_time: Duration) {
        self.calls += calls;
        self.work += hold_time * calls as u32;
    }
}

/// Returns the number of calls of a class that go before one with the priority and rank.
fn count_before(class: &Class, priority: u8, rank: Rank) -> usize {
    match class.spec.priority.cmp(&priority) {
        std::cmp::Ordering::Less => class.len(),
        std::cmp::Ordering::Equal => class.count_before(rank),
        std::cmp::Ordering::Greater => 0,
    }
}
