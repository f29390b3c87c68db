//! Targets that requested a pause from this VM.

use super::Incarnation;
use std::time::{Duration, Instant};

/// Digests of the incarnations that requested a pause from this VM, with its
/// end.
///
/// A pause outlasts a change of the target list, so that a target that is
/// dropped and listed again stays paused.
#[derive(Debug, Default)]
pub struct PausedTargets {
    pauses: Vec<(u64, Instant)>,
}

impl PausedTargets {
    /// Longest pause. A longer request is shortened, so that
    /// an absurd figure does not take the target out of use for good.
    pub const MAX_PAUSE: Duration = Duration::from_secs(600);

    /// Records a pause; a shorter one does not end a longer one earlier.
    ///
    /// Returns false if nothing changed.
    pub fn record(&mut self, now: Instant, digest: u64, pause: Duration) -> bool {
        self.pauses.retain(|(_, until)| *until > now);
        let until = now + pause.min(Self::MAX_PAUSE);
        match self.find(digest) {
            Ok(index) if self.pauses[index].1 >= until => false,
            Ok(index) => {
                self.pauses[index].1 = until;
                true
            }
            Err(index) => {
                self.pauses.insert(index, (digest, until));
                true
            }
        }
    }

    /// Returns the end of the pause of an incarnation, if it requested one.
    pub fn get_end(&self, incarnation: &Incarnation) -> Option<Instant> {
        if self.pauses.is_empty() {
            return None;
        }
        let index = self.find(incarnation.get_digest()).ok()?;
        Some(self.pauses[index].1)
    }

    fn find(&self, digest: u64) -> Result<usize, usize> {
        self.pauses
            .binary_search_by_key(&digest, |(digest, _)| *digest)
    }
}
