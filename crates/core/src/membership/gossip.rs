//! Choice of the peers and the contents of gossip messages, for a fleet of any size.

use super::{HeartbeatSummary, Membership, PeerState, PeerView};
use crate::{DomainName, EventKind, VmName};
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A VM that is registered in the store and has not sent a message yet.
#[derive(Debug)]
struct UnconfirmedPeer {
    vm: VmName,
    addr: SocketAddr,
    registered_at: Instant,
    hellos_sent: u32,
    /// True if the store holds its row, false if only a peer has named it.
    has_row: bool,
}

/// Peers that receive the messages of one gossip round.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RoundPeers {
    /// Peers from which a heartbeat was received.
    pub peers: Vec<SocketAddr>,
    /// Unconfirmed peers that receive a hello in this round.
    pub unconfirmed: Vec<SocketAddr>,
}

/// The VMs of a fleet, and the choice of those that this VM exchanges gossip with.
///
/// In each round a VM sends to a few random peers and describes a few live
/// peers, so that the bytes per second do not grow with the fleet. Every VM
/// forwards an urgent update at once when it first receives it, so that the
/// update reaches the entire fleet in a few steps.
/// docs/decisions/0016-bounded-exchange.md has the figures.
#[derive(Debug)]
pub struct GossipState {
    membership: Membership,
    unconfirmed: Vec<UnconfirmedPeer>,
    /// Recent fleet sizes with their times, in descending order of size.
    recent_sizes: Vec<(Instant, u16)>,
    newest_revision: u64,
    /// Failure domain of this VM, empty if it is not known.
    domain: DomainName,
    rng: Pcg32,
}

impl GossipState {
    /// Peers sent to in one round; four rounds with four peers each reach 256 VMs.
    pub const FANOUT: usize = 4;
    /// Peers described in one message, so that receivers discover new VMs.
    pub const PEER_VIEWS: usize = 1;
    /// Heartbeat summaries in one message. Thirteen messages per second then
    /// cover each of 300 VMs every 1.5 s.
    pub const SUMMARIES: usize = 16;
    /// Number of known peers up to which one round reaches every VM, counting the
    /// peers that messages describe. The silence limit is
    /// [`Membership::SILENCE`] for each such number of peers, rounded up.
    const DIRECT_PEERS: usize = 8;
    /// Time for which the largest known size counts as the size of the fleet.
    ///
    /// A VM that is cut off from its peers must not use their shares of a
    /// budget.
    const SIZE_RETENTION: Duration = Duration::from_secs(60);
    /// Time after registration after which an unconfirmed peer is removed.
    const UNCONFIRMED_RETENTION: Duration = Membership::PEER_RETENTION;
    /// Minimum number of hellos sent to an unconfirmed peer before it is removed;
    /// one hello in a hundred is lost.
    const MIN_HELLOS: u32 = 4;

    /// Creates the state of a VM without peers; `seed` drives the choice of
    /// peers.
    pub fn new(me: VmName, seed: u64) -> Self {
        Self {
            membership: Membership::new(me),
            unconfirmed: Vec::new(),
            recent_sizes: Vec::new(),
            newest_revision: 0,
            domain: DomainName::default(),
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Sets the failure domain of this VM.
    pub fn set_domain(&mut self, domain: DomainName) {
        self.domain = domain;
    }

    /// Records that a VM registered in the store with an address.
    pub fn add_registered(&mut self, now: Instant, vm: VmName, addr: SocketAddr) {
        self.add_unconfirmed(now, vm, addr, true);
    }

    /// Records that a VM does not answer a peer, which knows it.
    pub fn add_absent(&mut self, now: Instant, vm: VmName, addr: SocketAddr) {
        self.add_unconfirmed(now, vm, addr, false);
    }

    fn add_unconfirmed(&mut self, now: Instant, vm: VmName, addr: SocketAddr, has_row: bool) {
        if vm == *self.membership.get_me() || self.membership.is_known(&vm) {
            return;
        }
        let peer = UnconfirmedPeer {
            vm,
            addr,
            registered_at: now,
            hellos_sent: 0,
            has_row,
        };
        match self.find_unconfirmed(&peer.vm) {
            Ok(index) => {
                self.unconfirmed[index].addr = peer.addr;
                self.unconfirmed[index].has_row |= has_row;
            }
            Err(_) if !has_row && self.unconfirmed.len() >= Membership::MAX_PEERS => {}
            Err(index) => self.unconfirmed.insert(index, peer),
        }
    }

    /// Records the state of a VM, received from the VM itself or from a peer;
    /// returns true if the VM has become live.
    pub fn record_heartbeat(&mut self, now: Instant, view: PeerView) -> bool {
        if let Ok(index) = self.find_unconfirmed(&view.vm) {
            self.unconfirmed.remove(index);
        }
        let was_live = self.membership.is_live(now, &view.vm);
        let vm = view.vm.clone();
        let is_newer = self.membership.record_heartbeat(now, view);
        let rounds = self.membership.count_known().div_ceil(Self::DIRECT_PEERS);
        let rounds = u32::try_from(rounds.max(1)).unwrap_or(u32::MAX);
        self.membership.set_silence(Membership::SILENCE * rounds);
        is_newer && !was_live && self.membership.is_live(now, &vm)
    }

    /// Updates the states at `now`; returns the events and the removed VMs, which
    /// were silent or unconfirmed for their retention time.
    pub fn tick(&mut self, now: Instant) -> (Vec<EventKind>, Vec<VmName>) {
        let mut removed = self.membership.get_expired(now);
        let events = self.membership.tick(now);
        self.unconfirmed.retain(|peer| {
            let is_kept = now.saturating_duration_since(peer.registered_at)
                < Self::UNCONFIRMED_RETENTION
                || peer.hellos_sent < Self::MIN_HELLOS;
            if !is_kept {
                removed.push(peer.vm.clone());
            }
            is_kept
        });
        self.count_vms(now);
        (events, removed)
    }

    /// Chooses the peers to send to in this round: all but one in the own failure
    /// domain, since bytes between domains cost more.
    ///
    /// With random peers an update spreads in a number of rounds that grows
    /// with the logarithm of the fleet. Peers chosen in the order of their names
    /// would receive the same update from each other many times.
    pub fn next_peers(&mut self, now: Instant) -> RoundPeers {
        let peers = self.choose_round_peers(now);
        let count = if peers.len() < Self::FANOUT {
            Self::FANOUT
        } else {
            1
        };
        let mut order: Vec<usize> = (0..self.unconfirmed.len()).sample(&mut self.rng, usize::MAX);
        order.sort_by_key(|index| self.unconfirmed[*index].hellos_sent);
        let unconfirmed = order.into_iter().take(count).map(|index| {
            let peer = &mut self.unconfirmed[index];
            peer.hellos_sent += 1;
            peer.addr
        });
        RoundPeers {
            unconfirmed: unconfirmed.collect(),
            peers,
        }
    }

    fn choose_round_peers(&mut self, now: Instant) -> Vec<SocketAddr> {
        let is_near = |view: &PeerView| view.domain == self.domain;
        let near = self.membership.get_peers(now);
        let near = near.filter(|(view, _)| is_near(view));
        let mut chosen = near
            .map(|(view, _)| view.addr)
            .sample(&mut self.rng, Self::FANOUT - 1);
        let left = Self::FANOUT - chosen.len();
        let others = self.membership.get_peers(now);
        let others = others.filter(|(view, _)| !is_near(view));
        chosen.extend(
            others
                .map(|(view, _)| view.addr)
                .sample(&mut self.rng, left),
        );
        // In a fleet with one failure domain, the place for another domain goes to a near peer.
        let left = Self::FANOUT - chosen.len();
        let rest = self.membership.get_peers(now).map(|(view, _)| view.addr);
        let rest = rest.filter(|addr| !chosen.contains(addr));
        let rest = rest.sample(&mut self.rng, left);
        chosen.extend(rest);
        chosen
    }

    /// Records that a revision exists; returns true if it is newer than those known.
    ///
    /// A VM sends the number of the newest known revision even if it cannot read
    /// that revision, since it may be the only source for some peers.
    pub fn record_revision(&mut self, revision: u64) -> bool {
        let is_newer = revision > self.newest_revision;
        self.newest_revision = self.newest_revision.max(revision);
        is_newer
    }

    /// Records a heartbeat of a peer that another VM received.
    pub fn record_summary(&mut self, now: Instant, summary: HeartbeatSummary) {
        self.membership.record_summary(now, summary);
    }

    /// Chooses peers to describe to others; none if each round reaches every peer.
    pub fn choose_peer_views(&mut self, now: Instant) -> Vec<PeerView> {
        if self.is_fully_connected() {
            return Vec::new();
        }
        let responsive = self
            .membership
            .get_peers(now)
            .filter(|(_, state)| *state != PeerState::Silent);
        responsive
            .map(|(view, _)| view.clone())
            .sample(&mut self.rng, Self::PEER_VIEWS)
    }

    /// Chooses the heartbeat summaries to send; none if each round reaches every peer.
    pub fn choose_summaries(&mut self, now: Instant) -> Vec<HeartbeatSummary> {
        if self.is_fully_connected() {
            return Vec::new();
        }
        self.membership
            .get_summaries(now)
            .sample(&mut self.rng, Self::SUMMARIES)
    }

    /// Returns true if each round reaches every peer.
    fn is_fully_connected(&self) -> bool {
        self.membership.count_known() <= Self::FANOUT
    }

    /// Returns the number of the newest known revision, 0 if there is none.
    pub fn get_newest_revision(&self) -> u64 {
        self.newest_revision
    }

    /// Returns the number of peers that are live.
    pub fn count_live(&self, now: Instant) -> usize {
        self.membership
            .get_peers(now)
            .filter(|(_, state)| *state == PeerState::Live)
            .count()
    }

    /// Returns the addresses of up to `count` VMs for a request of their state: live ones
    /// in the own failure domain with the revision in force first, then others, then
    /// registered ones that have not sent a message yet.
    pub fn choose_holders(
        &mut self,
        now: Instant,
        domain: &str,
        revision: u64,
        count: usize,
    ) -> Vec<SocketAddr> {
        let live = |view: &PeerView, state: PeerState, is_near: bool| {
            let is_holder = view.revision >= revision;
            state == PeerState::Live && is_holder && (view.domain == domain) == is_near
        };
        let mut chosen = Vec::new();
        for is_near in [true, false] {
            let peers = self.membership.get_peers(now);
            let peers = peers.filter(|(view, state)| live(view, *state, is_near));
            let left = count - chosen.len();
            chosen.extend(peers.map(|(view, _)| view.addr).sample(&mut self.rng, left));
        }
        let left = count - chosen.len();
        let registered = self.unconfirmed.iter().map(|peer| peer.addr);
        chosen.extend(registered.sample(&mut self.rng, left));
        chosen
    }

    /// Returns the name, the address and the failure domain of each VM that has not been
    /// removed, live or not; the domain of one that has sent no message is not known.
    pub fn get_known(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&VmName, SocketAddr, Option<&DomainName>)> {
        let peers = self.membership.get_peers(now);
        let peers = peers.map(|(view, _)| (&view.vm, view.addr, Some(&view.domain)));
        let unconfirmed = self.unconfirmed.iter();
        peers.chain(unconfirmed.map(|peer| (&peer.vm, peer.addr, None)))
    }

    /// Returns the names and addresses of the VMs that have not been removed and do not
    /// answer, or have not sent a message yet. Those that only a peer has named are left out,
    /// so that peers do not keep each other from forgetting one that is gone.
    pub fn get_absent(&self, now: Instant) -> Vec<(VmName, SocketAddr)> {
        let peers = self.membership.get_peers(now);
        let silent = peers.filter(|(_, state)| *state != PeerState::Live);
        let silent = silent.map(|(view, _)| (view.vm.clone(), view.addr));
        let unconfirmed = self.unconfirmed.iter().filter(|peer| peer.has_row);
        silent
            .chain(unconfirmed.map(|peer| (peer.vm.clone(), peer.addr)))
            .collect()
    }

    /// Records the size of the fleet that a peer knows, as if this VM had known it.
    pub fn record_size(&mut self, now: Instant, vms: u32) {
        let most = u32::try_from(Membership::MAX_PEERS).unwrap_or(u32::MAX);
        let vms = vms.min(most) as u16;
        self.recent_sizes.push((now, vms));
    }

    /// Returns the views of the live peers.
    pub fn get_live_views(&self, now: Instant) -> Vec<PeerView> {
        let peers = self.membership.get_peers(now);
        let live = peers.filter(|(_, state)| *state == PeerState::Live);
        live.map(|(view, _)| view.clone()).collect()
    }

    /// Returns the number of VMs that read the store before this one while `revision`
    /// is in force, see [`ReadTurn`](crate::ReadTurn).
    ///
    /// Registered VMs that have not sent a message yet are part of the order:
    /// otherwise a VM that has few peers would compute a rank that is too low.
    pub fn get_read_rank(&self, now: Instant, revision: u64) -> usize {
        let place = |vm: &VmName| xxh3_64_with_seed(vm.as_bytes(), revision);
        let own_place = place(self.membership.get_me());
        let live = self.membership.get_peers(now);
        let live = live.filter(|(_, state)| *state == PeerState::Live);
        let live = live.map(|(view, _)| &view.vm);
        let known = live.chain(self.unconfirmed.iter().map(|peer| &peer.vm));
        known.filter(|vm| place(vm) < own_place).count()
    }

    /// Returns the names of all other VMs that are known and not leaving, whether or not
    /// they answer.
    pub fn get_staying(&self, now: Instant) -> Vec<VmName> {
        let peers = self.membership.get_peers(now);
        let staying = peers.filter(|(_, state)| *state != PeerState::Leaving);
        let names = staying.map(|(view, _)| view.vm.clone());
        let registered = self.unconfirmed.iter().map(|peer| peer.vm.clone());
        names.chain(registered).collect()
    }

    /// Returns true if this VM has to clean up after a VM that is gone.
    ///
    /// The owner is the live VM that follows the one that is gone in the order
    /// of the names.
    pub fn is_cleanup_owner(&self, now: Instant, gone: &VmName) -> bool {
        let live = self.membership.get_live(now);
        let next = live.partition_point(|vm| vm <= gone) % live.len();
        live[next] == *self.membership.get_me()
    }

    /// Returns the number of VMs by which budgets of the fleet are divided.
    ///
    /// It is the largest recent number of VMs, unconfirmed peers included.
    pub fn count_vms(&mut self, now: Instant) -> u16 {
        let known = self.count_live(now) + self.unconfirmed.len() + 1;
        let known = u16::try_from(known).unwrap_or(u16::MAX);
        self.recent_sizes.retain(|(at, size)| {
            now.saturating_duration_since(*at) < Self::SIZE_RETENTION && *size > known
        });
        self.recent_sizes.push((now, known));
        self.recent_sizes
            .iter()
            .map(|(_, size)| *size)
            .max()
            .unwrap_or(known)
    }

    fn find_unconfirmed(&self, vm: &VmName) -> Result<usize, usize> {
        self.unconfirmed.binary_search_by(|peer| peer.vm.cmp(vm))
    }
}
