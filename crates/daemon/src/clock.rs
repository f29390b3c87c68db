//! The clock of the operating system.

use gentianridge_core::Clock;
use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant, SystemTime};

/// Reads the clocks of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn since_boot(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
