//! Distributions of service times.

use rand::{Rng, RngExt};
use std::time::Duration;

/// Distribution of the service time of a request.
#[derive(Debug, Clone, Copy)]
pub enum ServiceTime {
    /// Constant time.
    Fixed(Duration),
    /// Half the mean plus an exponentially distributed part.
    Exponential(Duration),
    /// Exponential, with every hundredth request on average twenty times longer.
    Straggling(Duration),
}

impl ServiceTime {
    /// Minimum service time as a share of the mean.
    const MIN_SHARE: f64 = 0.5;
    const STRAGGLER_SHARE: f64 = 0.01;
    const STRAGGLER_FACTOR: u32 = 20;

    /// Draws a service time.
    pub fn draw(self, rng: &mut impl Rng) -> Duration {
        match self {
            Self::Fixed(time) => time,
            Self::Exponential(mean) => draw_exponential(mean, rng),
            Self::Straggling(mean) => {
                let time = draw_exponential(mean, rng);
                if rng.random_bool(Self::STRAGGLER_SHARE) {
                    time * Self::STRAGGLER_FACTOR
                } else {
                    time
                }
            }
        }
    }

    /// Returns the mean service time.
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

fn draw_exponential(mean: Duration, rng: &mut impl Rng) -> Duration {
    let unit: f64 = rng.random_range(f64::EPSILON..1.0);
    let rest = (1.0 - ServiceTime::MIN_SHARE) * -unit.ln();
    mean.mul_f64(ServiceTime::MIN_SHARE + rest)
}
