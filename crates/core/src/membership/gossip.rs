//! Whom a VM tells what it knows, in a fleet of any size.

use super::{HeartbeatSummary, Membership, PeerState, PeerView};
use crate::{EventKind, VmName};
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A VM that registered and was not heard yet.
#[derive(Debug)]
struct UnconfirmedPeer {
    vm: VmName,
    addr: SocketAddr,
    listed: Instant,
    greetings: u32,
}

/// Whom to tell in one round.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RoundPeers {
    /// Peers that were heard.
    pub peers: Vec<SocketAddr>,
    /// A VM that registered and was not heard yet; it is to answer.
    pub unconfirmed: Option<SocketAddr>,
}

/// The VMs of a fleet and the part of them that this VM talks to.
///
/// Every VM tells a few others in turn, and describes a few that it heard of
/// lately, so that bytes a second do not grow with the fleet. What is urgent is
/// told on at once by everyone who hears it first, and reaches the whole fleet
/// in a few steps. docs/decisions/0016-bounded-exchange.md has the figures.
#[derive(Debug)]
pub struct GossipState {
    membership: Membership,
    strangers: Vec<UnconfirmedPeer>,
    /// Sizes seen lately, each with its time; later ones are smaller.
    sizes: Vec<(Instant, u16)>,
    newest_revision: u64,
    rng: Pcg32,
}

impl GossipState {
    /// Peers told in one round. Four steps of four reach 256 VMs.
    pub const FANOUT: usize = 4;
    /// Peers described in one message; others learn of a VM by that.
    pub const PEER_VIEWS: usize = 1;
    /// Peers of which one message says that they live. Thirteen messages a
    /// second then name each of 300 VMs once a second.
    pub const SUMMARIES: usize = 24;
    /// Peers for which one round reaches everybody, digests included.
    const DIRECT_PEERS: usize = 8;
    /// Time for which the largest fleet seen counts as the fleet's size: a VM
    /// that is cut off from its peers must not take their parts of a shared
    /// budget.
    const KEEP_SIZE: Duration = Duration::from_secs(60);
    /// Time after which a VM that registered and never spoke is given up, if it
    /// was greeted so often in vain; one greeting in a hundred gets lost.
    const GIVE_UP: Duration = Membership::PEER_RETENTION;
    const GREETINGS: u32 = 4;

    /// Creates the roster of a VM that knows nobody; `seed` drives the choice
    /// of partners.
    pub fn new(me: VmName, seed: u64) -> Self {
        Self {
            membership: Membership::new(me),
            strangers: Vec::new(),
            sizes: Vec::new(),
            newest_revision: 0,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Takes in that a VM registered with an address.
    pub fn add_registered(&mut self, now: Instant, vm: VmName, addr: SocketAddr) {
        if vm == *self.membership.get_me() || self.membership.is_known(&vm) {
            return;
        }
        let unconfirmed = UnconfirmedPeer {
            vm,
            addr,
            listed: now,
            greetings: 0,
        };
        match self.find_stranger(&unconfirmed.vm) {
            Ok(index) => self.strangers[index].addr = unconfirmed.addr,
            Err(index) => self.strangers.insert(index, unconfirmed),
        }
    }

    /// Takes in what a VM says about itself, or what another has heard of it;
    /// returns true if the VM was not live before.
    pub fn record_heartbeat(&mut self, now: Instant, view: PeerView) -> bool {
        if let Ok(index) = self.find_stranger(&view.vm) {
            self.strangers.remove(index);
        }
        let was_live = self.membership.is_live(now, &view.vm);
        let vm = view.vm.clone();
        let is_news = self.membership.record_heartbeat(now, view);
        let rounds = self.membership.count_known().div_ceil(Self::DIRECT_PEERS);
        let rounds = u32::try_from(rounds.max(1)).unwrap_or(u32::MAX);
        self.membership.set_silence(Membership::SILENCE * rounds);
        is_news && !was_live && self.membership.is_live(now, &vm)
    }

    /// Notes the passing of time; returns changes worth an event, and the VMs
    /// that have been silent for so long that they are forgotten.
    pub fn tick(&mut self, now: Instant) -> (Vec<EventKind>, Vec<VmName>) {
        let mut gone = self.membership.get_expired(now);
        let events = self.membership.tick(now);
        self.strangers.retain(|unconfirmed| {
            let is_kept = now.saturating_duration_since(unconfirmed.listed) < Self::GIVE_UP
                || unconfirmed.greetings < Self::GREETINGS;
            if !is_kept {
                gone.push(unconfirmed.vm.clone());
            }
            is_kept
        });
        self.count_vms(now);
        (events, gone)
    }

    /// Chooses whom to tell in this round.
    ///
    /// Random partners spread news in a number of steps that grows with the
    /// logarithm of the fleet; partners in the order of names would hear the
    /// same from each other many times over.
    pub fn next_peers(&mut self, now: Instant) -> RoundPeers {
        let peers = self.membership.get_peers(now).map(|(view, _)| view.addr);
        let peers = peers.sample(&mut self.rng, Self::FANOUT);
        let unconfirmed = self.strangers.iter_mut().min_by_key(|s| s.greetings);
        let unconfirmed = unconfirmed.map(|unconfirmed| {
            unconfirmed.greetings += 1;
            unconfirmed.addr
        });
        RoundPeers { peers, unconfirmed }
    }

    /// Takes in that a revision exists; returns true if that is news.
    ///
    /// A VM tells the newest that it has heard of, whether it can read it or
    /// not, since others may hear of it from that VM alone.
    pub fn record_revision(&mut self, revision: u64) -> bool {
        let is_news = revision > self.newest_revision;
        self.newest_revision = self.newest_revision.max(revision);
        is_news
    }

    /// Takes in that a peer was heard by another.
    pub fn record_summary(&mut self, now: Instant, pulse: HeartbeatSummary) {
        self.membership.record_summary(now, pulse);
    }

    /// Chooses peers to describe to others; none if each of them is told in
    /// every round anyway.
    pub fn choose_peer_views(&mut self, now: Instant) -> Vec<PeerView> {
        if self.hears_all() {
            return Vec::new();
        }
        let heard = self
            .membership
            .get_peers(now)
            .filter(|(_, state)| *state != PeerState::Silent);
        heard
            .map(|(view, _)| view.clone())
            .sample(&mut self.rng, Self::PEER_VIEWS)
    }

    /// Chooses peers of which others are told that they live.
    pub fn choose_summaries(&mut self, now: Instant) -> Vec<HeartbeatSummary> {
        if self.hears_all() {
            return Vec::new();
        }
        self.membership
            .get_summaries(now)
            .sample(&mut self.rng, Self::SUMMARIES)
    }

    /// Returns true if every peer is told in every round anyway.
    fn hears_all(&self) -> bool {
        self.membership.count_known() <= Self::FANOUT
    }

    /// Returns the highest revision that was heard of, 0 without one.
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

    /// Returns true if it falls to this VM to clear away what a VM left that
    /// is gone: the live VM that follows it in the order of the names does.
    pub fn is_cleanup_owner(&self, now: Instant, gone: &VmName) -> bool {
        let live = self.membership.get_live(now);
        let next = live.partition_point(|vm| vm <= gone) % live.len();
        live[next] == *self.membership.get_me()
    }

    /// Returns the number of VMs that may share what is divided over the
    /// fleet: the most that were known lately, whether heard or only listed.
    pub fn count_vms(&mut self, now: Instant) -> u16 {
        let known = self.count_live(now) + self.strangers.len() + 1;
        let known = u16::try_from(known).unwrap_or(u16::MAX);
        self.sizes.retain(|(at, size)| {
            now.saturating_duration_since(*at) < Self::KEEP_SIZE && *size > known
        });
        self.sizes.push((now, known));
        self.sizes
            .iter()
            .map(|(_, size)| *size)
            .max()
            .unwrap_or(known)
    }

    fn find_stranger(&self, vm: &VmName) -> Result<usize, usize> {
        self.strangers
            .binary_search_by(|unconfirmed| unconfirmed.vm.cmp(vm))
    }
}
