//! Adaptive limit of requests in flight on one target.

use std::time::{Duration, Instant};

/// Limit that adapts to the load that a target can serve.
///
/// A declared number of slots is an upper bound. Sheds lower the limit, and
/// answers in time raise it again. The limit of a target without declared slots
/// starts at [`crate::TargetSpec::DEFAULT_SLOTS`]; slow answers lower it as well.
#[derive(Debug)]
pub(crate) struct Limit {
    value: f32,
    declared: Option<u16>,
    lowered_at: Option<Instant>,
}

impl Limit {
    const MAX_UNDECLARED: f32 = 200.0;
    const SHED_FACTOR: f32 = 0.8;
    const SLOW_FACTOR: f32 = 0.95;
    const SLOW_RATIO: f32 = 2.0;
    /// Shortest time between two reductions, so that a burst of sheds lowers the limit once.
    const LOWER_INTERVAL: Duration = Duration::from_millis(100);

    pub(crate) fn new(declared: Option<u16>, start: u16) -> Self {
        Self {
            value: f32::from(start),
            declared,
            lowered_at: None,
        }
    }

    pub(crate) fn get(&self) -> f32 {
        self.value
    }

    pub(crate) fn set_declared(&mut self, declared: Option<u16>, start: u16) {
        if self.declared != declared {
            *self = Self::new(declared, start);
        }
    }

    pub(crate) fn on_shed(&mut self, now: Instant) -> bool {
        self.lower(now, Self::SHED_FACTOR)
    }

    pub(crate) fn on_answer(&mut self, now: Instant, own: u16, ratio: f32) {
        let near_limit = f32::from(own) + 1.0 >= self.value;
        if self.declared.is_none() && near_limit && ratio > Self::SLOW_RATIO {
            self.lower(now, Self::SLOW_FACTOR);
            return;
        }
        if near_limit || self.declared.is_some() {
            self.value = (self.value + 1.0 / self.value).min(self.get_max());
        }
    }

    fn get_max(&self) -> f32 {
        self.declared.map_or(Self::MAX_UNDECLARED, f32::from)
    }

    fn lower(&mut self, now: Instant, factor: f32) -> bool {
        let recent = self
            .lowered_at
            .is_some_and(|at| now.saturating_duration_since(at) < Self::LOWER_INTERVAL);
        if recent {
            return false;
        }
        self.lowered_at = Some(now);
        self.value = (self.value * factor).max(1.0);
        true
    }
}
