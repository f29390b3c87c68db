//! What this VM knows of its peers and has to tell them.

use crate::gateway::state::{Gateway, Phase};
use gentianridge_core::{GossipState, PeerView, TargetListUpdate, VmName};
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Rounds in which a reading of the list is told. With four partners each, one
/// VM in three thousand does not hear of it, and reads the list itself.
const TELL_ROUNDS: u8 = 2;
/// Difference up to which two times mean the same reading, see
/// `RefreshTimer::check_update`.
const SAME_READING: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct Told {
    news: TargetListUpdate,
    read_at: Instant,
    rounds_left: u8,
}

/// The peers of this VM.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(super) roster: RefCell<GossipState>,
    pub(super) urgent: Notify,
    pub(super) newer: Notify,
    list: Notify,
    told: RefCell<Option<Told>>,
    seq: Cell<u64>,
    incarnation: Cell<u64>,
}

impl Peers {
    pub(crate) fn new(me: VmName) -> Self {
        Self {
            roster: RefCell::new(GossipState::new(me, rand::rng().random())),
            urgent: Notify::new(),
            newer: Notify::new(),
            list: Notify::new(),
            told: RefCell::new(None),
            seq: Cell::new(0),
            incarnation: Cell::new(0),
        }
    }

    /// Numbers this start; the number never falls.
    pub(super) fn raise_incarnation(&self, incarnation: u64) {
        self.incarnation
            .set(self.incarnation.get().max(incarnation));
    }

    pub(super) fn get_incarnation(&self) -> u64 {
        self.incarnation.get()
    }

    /// Asks for the next round at once, because there is something to tell that
    /// should not wait.
    pub(crate) fn note_urgent(&self) {
        self.urgent.notify_one();
    }

    /// Waits until a peer names a newer configuration than the one in force.
    pub(crate) async fn wait_newer_version(&self) {
        self.newer.notified().await;
    }

    /// Notes that a peer told a reading.
    pub(crate) fn note_list(&self) {
        self.list.notify_one();
    }

    /// Waits until a peer has told a reading.
    pub(crate) async fn wait_list(&self) {
        self.list.notified().await;
    }

    /// Tells the peers a reading of the list of targets, one of this VM or one
    /// that it heard of.
    pub(crate) fn tell_list(&self, now: Instant, news: TargetListUpdate) {
        let read_at = now.checked_sub(news.age).unwrap_or(now);
        let mut told = self.told.borrow_mut();
        let is_newer = told.as_ref().is_none_or(|told| {
            news.version > told.news.version || read_at > told.read_at + SAME_READING
        });
        if is_newer {
            *told = Some(Told {
                news,
                read_at,
                rounds_left: TELL_ROUNDS,
            });
            self.note_urgent();
        }
    }

    /// Returns the reading to tell in this round, with its age.
    pub(super) fn next_list(&self, now: Instant) -> Option<TargetListUpdate> {
        let mut told = self.told.borrow_mut();
        let told = told.as_mut()?;
        told.rounds_left = told.rounds_left.checked_sub(1)?;
        Some(TargetListUpdate {
            age: now.saturating_duration_since(told.read_at),
            ..told.news.clone()
        })
    }

    /// Takes in that a configuration exists, and tells it on if it is news.
    pub(crate) fn hear_version(&self, version: u64) {
        if self.roster.borrow_mut().record_revision(version) {
            self.newer.notify_one();
            self.note_urgent();
        }
    }

    /// Returns the newest configuration that was heard of.
    pub(crate) fn get_newest_version(&self) -> u64 {
        self.roster.borrow().get_newest_revision()
    }

    /// Returns the number of peers that are live.
    pub(crate) fn count_live(&self, now: Instant) -> usize {
        self.roster.borrow().count_live(now)
    }

    /// Returns the size of the fleet, none as long as no other VM is known.
    pub(crate) fn get_size(&self, now: Instant) -> Option<u16> {
        let size = self.roster.borrow_mut().count_vms(now);
        (size > 1).then_some(size)
    }
}

impl Gateway {
    /// Returns what this VM says about itself; each call is a newer word.
    pub(super) fn describe_me(&self) -> PeerView {
        let settings = self.get_settings();
        let peers = &self.peers;
        peers.seq.set(peers.seq.get() + 1);
        PeerView {
            vm: settings.vm.clone(),
            incarnation: peers.incarnation.get(),
            seq: peers.seq.get(),
            addr: settings.peers,
            operator_addr: None,
            is_leaving: self.get_phase() == Phase::Stopping,
            revision: self.get_version(),
        }
    }
}
