//! Attempts of the peers in flight, as they tell each other.

use super::target::Target;
use super::{Output, Service, TargetKey};
use std::time::{Duration, Instant};

/// When each peer was heard last.
///
/// Five VMs that each learn a target's load from its answers alone see it once
/// in a second or two, which is many times the length of one request. What the
/// peers count themselves is exact and some milliseconds old.
#[derive(Debug, Default)]
pub(crate) struct PeerLoads {
    heard: Vec<Option<Instant>>,
}

impl PeerLoads {
    /// Age at which a peer's counts say nothing any more. Peers repeat theirs
    /// within a third of it, so that two lost datagrams in a row do no harm.
    const FRESH: Duration = Duration::from_millis(1_000);
    /// Share of the fleet below which the peers' counts are not used.
    const MIN_COVERAGE: f32 = 0.5;

    /// Returns the factor by which the counts of fresh peers stand for all the
    /// others, or none if too few peers were heard.
    pub(crate) fn get_scale(&self, now: Instant, vms: u16) -> Option<f32> {
        let others = vms.saturating_sub(1);
        let fresh = (0..self.heard.len())
            .filter(|&peer| self.is_fresh(now, peer))
            .count();
        if others == 0 || fresh == 0 {
            return None;
        }
        let coverage = fresh as f32 / f32::from(others);
        (coverage >= Self::MIN_COVERAGE).then(|| (1.0 / coverage).max(1.0))
    }

    fn is_fresh(&self, now: Instant, peer: usize) -> bool {
        self.heard[peer].is_some_and(|at| now.saturating_duration_since(at) <= Self::FRESH)
    }

    fn note(&mut self, now: Instant, peer: usize) {
        if self.heard.len() <= peer {
            self.heard.resize(peer + 1, None);
        }
        self.heard[peer] = Some(now);
    }

    fn forget(&mut self, peer: usize) {
        if let Some(heard) = self.heard.get_mut(peer) {
            *heard = None;
        }
    }
}

/// Inputs about peers.
impl Service {
    /// Takes in how many attempts a peer has in flight on each target; targets
    /// that are not named have none.
    pub fn take_peer_loads(
        &mut self,
        now: Instant,
        peer: u16,
        loads: &[(TargetKey, u16)],
        out: &mut Vec<Output>,
    ) {
        let peer = usize::from(peer);
        self.peer_loads.note(now, peer);
        for target in &mut self.targets {
            target.set_peer_count(peer, 0);
        }
        for (key, count) in loads {
            if let Some(target) = self.targets.get_mut(key.get_index()) {
                target.set_peer_count(peer, *count);
            }
        }
        if self.count_waiting() > 0 {
            self.pump(now, out);
        }
    }

    /// Forgets a peer that has gone.
    pub fn forget_peer(&mut self, peer: u16) {
        let peer = usize::from(peer);
        self.peer_loads.forget(peer);
        for target in &mut self.targets {
            target.set_peer_count(peer, 0);
        }
    }
}

impl Target {
    pub(crate) fn count_peer_attempts(&self) -> u16 {
        self.peer_counts.iter().sum()
    }

    fn set_peer_count(&mut self, peer: usize, count: u16) {
        if self.peer_counts.len() <= peer {
            if count == 0 {
                return;
            }
            self.peer_counts.resize(peer + 1, 0);
        }
        self.peer_counts[peer] = count;
    }
}
