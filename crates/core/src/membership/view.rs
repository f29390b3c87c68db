//! The merged view of the fleet.

use super::{HeartbeatSummary, PeerView};
use crate::{EventKind, VmName};
use std::time::{Duration, Instant};

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformState {
    /// The platform lists the VM as running.
    Live,
    /// The platform is going to stop the VM.
    Leaving,
}

/// State of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// A heartbeat of the peer was received within the silence limit.
    Live,
    /// The peer or the platform reports that the peer is stopping.
    Leaving,
    /// No heartbeat of the peer was received within the silence limit.
    Silent,
}

#[derive(Debug)]
struct Peer {
    view: PeerView,
    digest: u32,
    /// Sequence number of the newest heartbeat of this incarnation that any VM
    /// received; the rest of the view may be older.
    newest_seq: u64,
    last_heartbeat: Instant,
    /// Incarnation that the platform's list marks as leaving.
    platform_leaving: Option<u64>,
    /// State in the newest event about the peer.
    reported: PeerState,
}

/// One VM's view of the fleet.
///
/// Peers are kept in a vector sorted by name.
#[derive(Debug)]
pub struct Membership {
    me: VmName,
    peers: Vec<Peer>,
    silence: Duration,
    next_index: usize,
}

impl Membership {
    /// Largest number of other VMs that are recorded, several times that of a large fleet,
    /// so that a faulty peer cannot fill the memory with names.
    pub const MAX_PEERS: usize = 4_096;
    /// Time without a heartbeat after which a peer is silent.
    pub const SILENCE: Duration = Duration::from_millis(900);
    /// Time without a heartbeat after which a peer is removed.
    pub const PEER_RETENTION: Duration = Duration::from_secs(60);

    /// Creates the view of a VM without peers.
    pub fn new(me: VmName) -> Self {
        Self {
            me,
            peers: Vec::new(),
            silence: Self::SILENCE,
            next_index: 0,
        }
    }

    /// Sets the silence limit, which grows with the number of rounds that an
    /// update needs to reach every VM.
    pub fn set_silence(&mut self, silence: Duration) {
        self.silence = silence;
    }

    /// Records the state of a VM, received from the VM itself or from a peer.
    ///
    /// Only a newer incarnation or a higher sequence number is applied, so a
    /// message that is duplicated, late or relayed changes nothing. Beyond
    /// [`Self::MAX_PEERS`] no further VM is recorded. Returns true if the view is newer
    /// than the known one.
    pub fn record_heartbeat(&mut self, now: Instant, view: PeerView) -> bool {
        if view.vm == self.me {
            return false;
        }
        match self.find(&view.vm) {
            Ok(index) => self.peers[index].update(now, view),
            Err(_) if self.peers.len() >= Self::MAX_PEERS => false,
            Err(index) => {
                self.peers.insert(index, Peer::new(now, view));
                true
            }
        }
    }

    /// Records a heartbeat of a known peer that another VM received.
    pub fn record_summary(&mut self, now: Instant, summary: HeartbeatSummary) {
        let known = self
            .peers
            .iter_mut()
            .find(|peer| peer.digest == summary.peer);
        if let Some(peer) = known
            && summary.seq > peer.newest_seq
        {
            peer.newest_seq = summary.seq;
            peer.last_heartbeat = now;
        }
    }

    /// Records the state of a VM in the platform's list.
    ///
    /// The list lags, so it can make neither a silent peer live nor a live peer
    /// silent. It can only mark the current incarnation as leaving.
    pub fn record_platform_state(&mut self, vm: &VmName, state: PlatformState) {
        let Ok(index) = self.find(vm) else {
            return;
        };
        let peer = &mut self.peers[index];
        peer.platform_leaving = match state {
            PlatformState::Leaving => Some(peer.view.incarnation),
            PlatformState::Live => None,
        };
    }

    /// Updates the states at `now`, removes expired peers and returns the events.
    pub fn tick(&mut self, now: Instant) -> Vec<EventKind> {
        let silence = self.silence;
        let mut events = Vec::new();
        for peer in &mut self.peers {
            let state = peer.get_state(now, silence);
            if state != peer.reported {
                peer.reported = state;
                events.push(event_of(state, &peer.view.vm));
            }
        }
        self.peers.retain(|peer| !peer.is_expired(now));
        events
    }

    /// Returns the sorted names of the live VMs, this one included.
    pub fn get_live(&self, now: Instant) -> Vec<VmName> {
        let mut live: Vec<VmName> = self
            .peers
            .iter()
            .filter(|peer| peer.get_state(now, self.silence) == PeerState::Live)
            .map(|peer| peer.view.vm.clone())
            .collect();
        let at = live.partition_point(|vm| *vm < self.me);
        live.insert(at, self.me.clone());
        live
    }

    /// Returns the name of this VM.
    pub fn get_me(&self) -> &VmName {
        &self.me
    }

    /// Returns true if the VM is a peer that has not been removed.
    pub fn is_known(&self, vm: &VmName) -> bool {
        self.find(vm).is_ok()
    }

    /// Returns the number of peers that have not been removed.
    pub fn count_known(&self) -> usize {
        self.peers.len()
    }

    /// Returns true if the VM is a live peer.
    pub fn is_live(&self, now: Instant, vm: &VmName) -> bool {
        self.find(vm)
            .is_ok_and(|index| self.peers[index].get_state(now, self.silence) == PeerState::Live)
    }

    /// Returns the peers that the next [`Self::tick`] removes.
    pub fn get_expired(&self, now: Instant) -> Vec<VmName> {
        let expired = self.peers.iter().filter(|peer| peer.is_expired(now));
        expired.map(|peer| peer.view.vm.clone()).collect()
    }

    /// Returns each peer with its state.
    pub fn get_peers(&self, now: Instant) -> impl Iterator<Item = (&PeerView, PeerState)> {
        self.peers
            .iter()
            .map(move |peer| (&peer.view, peer.get_state(now, self.silence)))
    }

    /// Returns the heartbeat summary of each peer that is not silent.
    pub fn get_summaries(&self, now: Instant) -> impl Iterator<Item = HeartbeatSummary> {
        let responsive = self
            .peers
            .iter()
            .filter(move |peer| peer.get_state(now, self.silence) != PeerState::Silent);
        responsive.map(|peer| HeartbeatSummary {
            peer: peer.digest,
            seq: peer.newest_seq,
        })
    }

    /// Returns the peer with the newest revision in force.
    pub fn get_newest(&self) -> Option<&PeerView> {
        self.peers
            .iter()
            .map(|peer| &peer.view)
            .max_by_key(|view| view.revision)
    }

    /// Returns up to `count` peers to send to, in rotation.
    pub fn next_peers(&mut self, count: usize) -> Vec<PeerView> {
        let len = self.peers.len();
        let count = count.min(len);
        let peers = (0..count)
            .map(|offset| self.peers[(self.next_index + offset) % len].view.clone())
            .collect();
        if len > 0 {
            self.next_index = (self.next_index + count) % len;
        }
        peers
    }

    /// Returns up to `count` peers that are not silent, most recent heartbeat first.
    pub fn get_recent_peers(&self, now: Instant, count: usize) -> Vec<PeerView> {
        let mut recent: Vec<&Peer> = self
            .peers
            .iter()
            .filter(|peer| peer.get_state(now, self.silence) != PeerState::Silent)
            .collect();
        recent.sort_by_key(|peer| std::cmp::Reverse(peer.last_heartbeat));
        recent
            .into_iter()
            .take(count)
            .map(|peer| peer.view.clone())
            .collect()
    }

    fn find(&self, vm: &VmName) -> Result<usize, usize> {
        self.peers.binary_search_by(|peer| peer.view.vm.cmp(vm))
    }
}

impl Peer {
    fn new(now: Instant, view: PeerView) -> Self {
        Self {
            digest: view.get_digest(),
            newest_seq: view.seq,
            view,
            last_heartbeat: now,
            platform_leaving: None,
            reported: PeerState::Silent,
        }
    }

    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heartbeat) >= Membership::PEER_RETENTION
    }

    fn update(&mut self, now: Instant, view: PeerView) -> bool {
        let known = (self.view.incarnation, self.view.seq);
        if (view.incarnation, view.seq) <= known {
            return false;
        }
        let is_same_process = view.incarnation == self.view.incarnation;
        if !is_same_process || view.seq > self.newest_seq {
            self.newest_seq = view.seq;
            self.last_heartbeat = now;
        }
        let was_leaving = is_same_process && self.view.is_leaving;
        self.digest = view.get_digest();
        self.view = view;
        self.view.is_leaving |= was_leaving;
        true
    }

    fn get_state(&self, now: Instant, silence: Duration) -> PeerState {
        if now.saturating_duration_since(self.last_heartbeat) > silence {
            return PeerState::Silent;
        }
        let is_platform_leaving = self.platform_leaving == Some(self.view.incarnation);
        if self.view.is_leaving || is_platform_leaving {
            PeerState::Leaving
        } else {
            PeerState::Live
        }
    }
}

fn event_of(state: PeerState, vm: &VmName) -> EventKind {
    let peer = vm.clone();
    match state {
        PeerState::Live => EventKind::PeerLive { peer },
        PeerState::Leaving => EventKind::PeerLeaving { peer },
        PeerState::Silent => EventKind::PeerSilent { peer },
    }
}
