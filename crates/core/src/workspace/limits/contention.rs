//! Pause of asks while a workspace asks for more than its limit.

use std::time::Duration;

/// Slows down the asks of one workspace while replies bring no tokens.
///
/// Once all holders have been empty in turn, the limit itself is used up, and the VMs
/// share it by asking ever more rarely until about one ask in three brings tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Contention {
    /// Empty replies, less those with tokens.
    empty: u32,
    resume_at: Duration,
}

impl Contention {
    /// Pause after the first empty reply beyond one of each holder; each further one
    /// doubles it.
    const FIRST_PAUSE: Duration = Duration::from_millis(50);
    /// Doublings after which the pause grows no more, so that tokens are found within
    /// two seconds after the others have stopped.
    const MAX_DOUBLINGS: u32 = 5;
    /// Empty replies that one reply with tokens makes up for.
    const GRANT_WEIGHT: u32 = 2;

    /// Records a reply; `holders` is the number of VMs that can be asked.
    pub(super) fn record(&mut self, now: Duration, has_tokens: bool, holders: u32) {
        if has_tokens {
            self.empty = self.empty.saturating_sub(Self::GRANT_WEIGHT);
        } else {
            self.empty = (self.empty + 1).min(holders + Self::MAX_DOUBLINGS);
        }
        if self.empty >= holders {
            self.resume_at = now + Self::FIRST_PAUSE * (1 << (self.empty - holders));
        }
    }

    /// Returns true if a holder may be asked.
    pub(super) fn may_ask(&self, now: Duration) -> bool {
        now >= self.resume_at
    }
}
