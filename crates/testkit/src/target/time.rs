//! Drawn service times.

use rand::{Rng, RngExt};
use std::time::Duration;

/// Distribution of the time for which a request is worked on.
#[derive(Debug, Clone, Copy)]
pub enum ServiceTime {
    /// Always the same time.
    Fixed(Duration),
    /// A floor of half the mean and an exponential rest.
    Exponential(Duration),
    /// Exponential, with one in a hundred requests twenty times longer.
    Straggling(Duration),
}

impl ServiceTime {
    /// Share of the mean that every request takes.
    const FLOOR: f64 = 0.5;
    const STRAGGLER_SHARE: f64 = 0.01;
    const STRAGGLER_FACTOR: u32 = 20;

    /// Draws one time.
    pub fn draw(self, rng: &mut impl Rng) -> Duration {
        match self {
            Self::Fixed(time) => time,
            Self::Exponential(mean) => exponential(mean, rng),
            Self::Straggling(mean) => {
                let time = exponential(mean, rng);
                if rng.random_bool(Self::STRAGGLER_SHARE) {
                    time * Self::STRAGGLER_FACTOR
                } else {
                    time
                }
            }
        }
    }

    /// Returns the mean time.
    pub fn get_mean(self) -> Duration {
        match self {
            Self::Fixed(time) | Self::Exponential(time) => time,
            Self::Straggling(mean) => {
                let extra = Self::STRAGGLER_SHARE * f64::from(Self::STRAGGLER_FACTOR - 1);
                mean.mul_f64(1.0 + extra)
            }
        }
    }
}

fn exponential(mean: Duration, rng: &mut impl Rng) -> Duration {
    let unit: f64 = rng.random_range(f64::EPSILON..1.0);
    let rest = (1.0 - ServiceTime::FLOOR) * -unit.ln();
    mean.mul_f64(ServiceTime::FLOOR + rest)
}
