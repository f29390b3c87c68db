//! The merged view of the fleet.

use super::{HeartbeatSummary, PeerView};
use crate::{EventKind, VmName};
use std::time::{Duration, Instant};

/// What the platform's list says about a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformState {
    /// The platform believes that the VM runs.
    Live,
    /// The platform is going to stop the VM.
    Leaving,
}

/// Where a peer stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// The peer was heard lately.
    Live,
    /// The peer said, or the platform says, that it is stopping.
    Leaving,
    /// The peer has not been heard for the silence limit.
    Silent,
}

#[derive(Debug)]
struct Peer {
    view: PeerView,
    digest: u32,
    /// Number of the newest heartbeat that anybody heard of this start; the
    /// rest of the view may be older.
    newest_seq: u64,
    heard: Instant,
    /// Incarnation that the platform's list marks as leaving.
    platform_leaving: Option<u64>,
    announced: PeerState,
}

/// The fleet as one VM sees it.
///
/// Peers are kept in a vector sorted by name.
#[derive(Debug)]
pub struct Membership {
    me: VmName,
    peers: Vec<Peer>,
    silence: Duration,
    turn: usize,
}

impl Membership {
    /// Time without a heartbeat after which a peer counts as gone.
    pub const SILENCE: Duration = Duration::from_millis(900);
    /// Time after which a silent peer is forgotten.
    pub const PEER_RETENTION: Duration = Duration::from_secs(60);

    /// Creates the view of a VM that has heard nobody.
    pub fn new(me: VmName) -> Self {
        Self {
            me,
            peers: Vec::new(),
            silence: Self::SILENCE,
            turn: 0,
        }
    }

    /// Sets the silence limit, which grows with the rounds that news needs.
    pub fn set_silence(&mut self, silence: Duration) {
        self.silence = silence;
    }

    /// Takes in what a VM says about itself, or what a peer has heard of it.
    ///
    /// Only a newer incarnation or a higher number counts, so a message that
    /// arrives twice, late or by a detour changes nothing. Returns true if the
    /// view is news.
    pub fn record_heartbeat(&mut self, now: Instant, view: PeerView) -> bool {
        if view.vm == self.me {
            return false;
        }
        match self.find(&view.vm) {
            Ok(index) => self.peers[index].update(now, view),
            Err(index) => {
                self.peers.insert(index, Peer::new(now, view));
                true
            }
        }
    }

    /// Takes in that a peer that is known was heard lately by another.
    pub fn record_summary(&mut self, now: Instant, pulse: HeartbeatSummary) {
        let known = self.peers.iter_mut().find(|peer| peer.digest == pulse.peer);
        if let Some(peer) = known
            && pulse.seq > peer.newest_seq
        {
            peer.newest_seq = pulse.seq;
            peer.heard = now;
        }
    }

    /// Takes in the platform's word on a VM.
    ///
    /// The list lags, so it cannot make a silent peer live or a live peer
    /// gone. It can only announce that the incarnation heard now is leaving.
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

    /// Notes the passing of time and returns changes worth an event.
    pub fn tick(&mut self, now: Instant) -> Vec<EventKind> {
        let silence = self.silence;
        let mut events = Vec::new();
        for peer in &mut self.peers {
            let state = peer.get_state(now, silence);
            if state != peer.announced {
                peer.announced = state;
                events.push(event_of(state, &peer.view.vm));
            }
        }
        self.peers.retain(|peer| !peer.has_lapsed(now));
        events
    }

    /// Returns the sorted names of the VMs that share the work, this one included.
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

    /// Returns true if the VM has been heard and is not forgotten.
    pub fn is_known(&self, vm: &VmName) -> bool {
        self.find(vm).is_ok()
    }

    /// Returns the number of peers that are not forgotten.
    pub fn count_known(&self) -> usize {
        self.peers.len()
    }

    /// Returns true if the VM is a live peer.
    pub fn is_live(&self, now: Instant, vm: &VmName) -> bool {
        self.find(vm)
            .is_ok_and(|index| self.peers[index].get_state(now, self.silence) == PeerState::Live)
    }

    /// Returns the peers that the next [`Self::tick`] forgets.
    pub fn get_expired(&self, now: Instant) -> Vec<VmName> {
        let lapsed = self.peers.iter().filter(|peer| peer.has_lapsed(now));
        lapsed.map(|peer| peer.view.vm.clone()).collect()
    }

    /// Returns each peer with its state.
    pub fn get_peers(&self, now: Instant) -> impl Iterator<Item = (&PeerView, PeerState)> {
        self.peers
            .iter()
            .map(move |peer| (&peer.view, peer.get_state(now, self.silence)))
    }

    /// Returns the pulse of each peer that is not silent.
    pub fn get_summaries(&self, now: Instant) -> impl Iterator<Item = HeartbeatSummary> {
        let heard = self
            .peers
            .iter()
            .filter(move |peer| peer.get_state(now, self.silence) != PeerState::Silent);
        heard.map(|peer| HeartbeatSummary {
            peer: peer.digest,
            seq: peer.newest_seq,
        })
    }

    /// Returns the highest revision that a peer has in force, and the peer.
    pub fn get_newest(&self) -> Option<&PeerView> {
        self.peers
            .iter()
            .map(|peer| &peer.view)
            .max_by_key(|view| view.revision)
    }

    /// Returns up to `count` peers to send to, a different part each time.
    pub fn next_peers(&mut self, count: usize) -> Vec<PeerView> {
        let len = self.peers.len();
        let count = count.min(len);
        let partners = (0..count)
            .map(|offset| self.peers[(self.turn + offset) % len].view.clone())
            .collect();
        if len > 0 {
            self.turn = (self.turn + count) % len;
        }
        partners
    }

    /// Returns up to `count` peers heard lately, freshest first.
    pub fn get_recent_peers(&self, now: Instant, count: usize) -> Vec<PeerView> {
        let mut heard: Vec<&Peer> = self
            .peers
            .iter()
            .filter(|peer| peer.get_state(now, self.silence) != PeerState::Silent)
            .collect();
        heard.sort_by_key(|peer| std::cmp::Reverse(peer.heard));
        heard
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
            heard: now,
            platform_leaving: None,
            announced: PeerState::Silent,
        }
    }

    fn has_lapsed(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) >= Membership::PEER_RETENTION
    }

    fn update(&mut self, now: Instant, view: PeerView) -> bool {
        let known = (self.view.incarnation, self.view.seq);
        if (view.incarnation, view.seq) <= known {
            return false;
        }
        let is_same_process = view.incarnation == self.view.incarnation;
        if !is_same_process || view.seq > self.newest_seq {
            self.newest_seq = view.seq;
            self.heard = now;
        }
        let was_leaving = is_same_process && self.view.is_leaving;
        self.digest = view.get_digest();
        self.view = view;
        self.view.is_leaving |= was_leaving;
        true
    }

    fn get_state(&self, now: Instant, silence: Duration) -> PeerState {
        if now.saturating_duration_since(self.heard) > silence {
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
