//! Targets whose entries were removed.

use smol_str::SmolStr;
use std::time::{Duration, Instant};

/// Names of the targets whose entries were removed and that are not listed again, with the
/// times of the removals, in their order.
///
/// A copy of the store, to which it returns, may still list such a target.
#[derive(Debug, Default)]
pub(super) struct DepartedTargets {
    targets: Vec<(SmolStr, Instant)>,
}

impl DepartedTargets {
    /// Time for which a target is remembered, which exceeds the age of any copy.
    const RETENTION: Duration = Duration::from_secs(600);
    /// Maximum number of targets; the one that was removed first is dropped first.
    const MAX_TARGETS: usize = 4_096;

    /// Records that the entry of a target was removed.
    pub(super) fn record(&mut self, now: Instant, id: &str) {
        match self.find(id) {
            Ok(index) => self.targets[index].1 = now,
            Err(index) => self.targets.insert(index, (id.into(), now)),
        }
        if self.targets.len() > Self::MAX_TARGETS {
            let targets = self.targets.iter().enumerate();
            let oldest = targets.min_by_key(|(_, (_, at))| *at);
            if let Some((index, _)) = oldest {
                self.targets.remove(index);
            }
        }
    }

    /// Records that a target is listed again.
    pub(super) fn forget(&mut self, id: &str) {
        if let Ok(index) = self.find(id) {
            self.targets.remove(index);
        }
    }

    /// Returns true if the entry of the target was removed.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.find(id).is_ok()
    }

    /// Drops the targets that were removed longer ago than [`Self::RETENTION`].
    pub(super) fn expire(&mut self, now: Instant) {
        self.targets
            .retain(|(_, at)| now.saturating_duration_since(*at) < Self::RETENTION);
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|(known, _)| known.as_str().cmp(id))
    }
}
