//! Current demand of short work for slots.

use std::time::{Duration, Instant};

/// Moving average of the short work in flight on one VM.
///
/// A fixed reserve is too small at one time of the day and too large at
/// another. The reserve for short work therefore grows with its demand, and
/// the declared reserve is its minimum.
#[derive(Debug)]
pub(crate) struct ShortDemand {
    mean: f32,
    updated_at: Option<Instant>,
    applied_mean: f32,
}

impl ShortDemand {
    /// Averaging time of a falling demand.
    const FALL_TIME: Duration = Duration::from_secs(2);
    /// Averaging time of a rising demand.
    const RISE_TIME: Duration = Duration::from_millis(50);
    /// Margin kept free above the mean demand, in standard deviations.
    const MARGIN_DEVIATIONS: f32 = 3.0;
    /// Change of the mean, in slots, from which the slots are assigned again.
    const MIN_CHANGE: f32 = 0.25;

    pub(crate) fn new() -> Self {
        Self {
            mean: 0.0,
            updated_at: None,
            applied_mean: 0.0,
        }
    }

    /// Records the short work in flight; returns true if the slots have to be assigned again.
    pub(crate) fn observe(&mut self, now: Instant, in_flight: u32) -> bool {
        let elapsed = self.updated_at.map_or(Duration::ZERO, |updated_at| {
            now.saturating_duration_since(updated_at)
        });
        self.updated_at = Some(now);
        let value = in_flight as f32;
        let span = if value > self.mean {
            Self::RISE_TIME
        } else {
            Self::FALL_TIME
        };
        let weight = (elapsed.as_secs_f32() / span.as_secs_f32()).min(1.0);
        self.mean += weight * (value - self.mean);
        let is_change = (self.mean - self.applied_mean).abs() > Self::MIN_CHANGE;
        if is_change {
            self.applied_mean = self.mean;
        }
        is_change
    }

    /// Slots needed over the fleet if every VM has the same demand as this one.
    ///
    /// The number of calls that arrive at random has a standard deviation of the
    /// square root of its mean.
    pub(crate) fn get_slots(&self, vms: u16) -> u16 {
        let mean = self.applied_mean * f32::from(vms);
        if mean < Self::MIN_CHANGE {
            return 0;
        }
        (mean + Self::MARGIN_DEVIATIONS * mean.sqrt()).ceil() as u16
    }
}
