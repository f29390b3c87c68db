//! Targets that announced their leave in an answer.

use super::Incarnation;
use std::time::{Duration, Instant};

/// Digests of the incarnations that announced that they are leaving, with the
/// time at which this VM was notified.
///
/// An announcement lasts as long as the incarnation. It does not depend on the
/// target list: a list that is older than the announcement, or that drops the
/// target and lists it again, does not revoke it.
#[derive(Debug, Default)]
pub struct LeavingTargets {
    announced: Vec<(u64, Instant)>,
}

impl LeavingTargets {
    /// Time for which an announcement is kept, which exceeds the time that a
    /// target needs to leave.
    pub const RETENTION: Duration = Duration::from_secs(600);
    /// Maximum number of announcements; the oldest is dropped first.
    pub const MAX_TARGETS: usize = 4_096;

    /// Records an announcement; returns false if it is known.
    pub fn record(&mut self, now: Instant, digest: u64) -> bool {
        let Err(index) = self.find(digest) else {
            return false;
        };
        self.announced.insert(index, (digest, now));
        if self.announced.len() > Self::MAX_TARGETS {
            self.drop_oldest();
        }
        true
    }

    /// Returns true if the incarnation announced that it is leaving.
    pub fn contains(&self, incarnation: &Incarnation) -> bool {
        !self.announced.is_empty() && self.find(incarnation.get_digest()).is_ok()
    }

    /// Drops the announcements that are older than [`Self::RETENTION`].
    pub fn expire(&mut self, now: Instant) {
        self.announced
            .retain(|(_, at)| now.saturating_duration_since(*at) < Self::RETENTION);
    }

    fn drop_oldest(&mut self) {
        let oldest = self.announced.iter().enumerate();
        let oldest = oldest.min_by_key(|(_, (_, at))| *at);
        if let Some((index, _)) = oldest {
            self.announced.remove(index);
        }
    }

    fn find(&self, digest: u64) -> Result<usize, usize> {
        self.announced
            .binary_search_by_key(&digest, |(digest, _)| *digest)
    }
}
