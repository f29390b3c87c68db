//! Slots that short work needs now.

use std::time::{Duration, Instant};

/// Follows the short work in flight on one VM.
///
/// A fixed reserve is too small at one time of the day and too large at
/// another. The reserve for short work therefore grows with its demand, and
/// the declared reserve is its floor.
#[derive(Debug)]
pub(crate) struct ShortDemand {
    mean: f32,
    at: Option<Instant>,
    in_use: f32,
}

impl ShortDemand {
    /// Time over which the demand is averaged when it falls.
    const FALL: Duration = Duration::from_secs(2);
    /// Time over which the demand is averaged when it rises.
    const RISE: Duration = Duration::from_millis(50);
    /// Standard deviations of the demand that are kept free above its mean.
    const MARGIN: f32 = 3.0;
    /// Change of the mean from which the slots are dealt anew.
    const STEP: f32 = 0.25;

    pub(crate) fn new() -> Self {
        Self {
            mean: 0.0,
            at: None,
            in_use: 0.0,
        }
    }

    /// Takes in the short work in flight; returns true if the need has changed.
    pub(crate) fn observe(&mut self, now: Instant, in_flight: u32) -> bool {
        let elapsed = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.at = Some(now);
        let value = in_flight as f32;
        let span = if value > self.mean {
            Self::RISE
        } else {
            Self::FALL
        };
        let weight = (elapsed.as_secs_f32() / span.as_secs_f32()).min(1.0);
        self.mean += weight * (value - self.mean);
        let is_change = (self.mean - self.in_use).abs() > Self::STEP;
        if is_change {
            self.in_use = self.mean;
        }
        is_change
    }

    /// Slots over the fleet, if every VM has a demand like this one.
    ///
    /// Calls that arrive at random vary by the square root of their mean.
    pub(crate) fn get_slots(&self, vms: u16) -> u16 {
        let mean = self.in_use * f32::from(vms);
        if mean < Self::STEP {
            return 0;
        }
        (mean + Self::MARGIN * mean.sqrt()).ceil() as u16
    }
}
