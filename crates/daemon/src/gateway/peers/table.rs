//! What this VM knows of its peers and has to tell them.

use crate::gateway::state::{Gateway, Phase};
use gentianridge_core::{ListNews, PeerView, Roster, VmName};
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Rounds in which a reading of the list is told. With four partners each, one
/// VM in three thousand does not hear of it, and reads the list itself.
const UPDATE_ROUNDS: u8 = 2;
/// Difference up to which two times mean the same reading, see
/// `Refresh::judge`.
const SAME_READ_TOLERANCE: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct QueuedUpdate {
    news: ListNews,
    read_at: Instant,
    rounds_left: u8,
}

/// The peers of this VM.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(super) gossip: RefCell<Roster>,
    pub(super) round_requested: Notify,
    pub(super) newer_version: Notify,
    list: Notify,
    queued: RefCell<Option<QueuedUpdate>>,
    seq: Cell<u64>,
    incarnation: Cell<u64>,
}

impl Peers {
    pub(crate) fn new(me: VmName) -> Self {
        Self {
            gossip: RefCell::new(Roster::new(me, rand::rng().random())),
            round_requested: Notify::new(),
            newer_version: Notify::new(),
            list: Notify::new(),
            queued: RefCell::new(None),
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
    pub(crate) fn request_round(&self) {
        self.round_requested.notify_one();
    }

    /// Waits until a peer names a newer configuration than the one in force.
    pub(crate) async fn wait_newer_version(&self) {
        self.newer_version.notified().await;
    }

    /// Notes that a peer told a reading.
    pub(crate) fn notify_list_update(&self) {
        self.list.notify_one();
    }

    /// Waits until a peer has told a reading.
    pub(crate) async fn wait_list_update(&self) {
        self.list.notified().await;
    }

    /// Tells the peers a reading of the list of targets, one of this VM or one
    /// that it heard of.
    pub(crate) fn queue_list_update(&self, now: Instant, news: ListNews) {
        let read_at = now.checked_sub(news.age).unwrap_or(now);
        let mut queued = self.queued.borrow_mut();
        let is_newer = queued.as_ref().is_none_or(|queued| {
            news.version > queued.news.version || read_at > queued.read_at + SAME_READ_TOLERANCE
        });
        if is_newer {
            *queued = Some(QueuedUpdate {
                news,
                read_at,
                rounds_left: UPDATE_ROUNDS,
            });
            self.request_round();
        }
    }

    /// Returns the reading to tell in this round, with its age.
    pub(super) fn next_list_update(&self, now: Instant) -> Option<ListNews> {
        let mut queued = self.queued.borrow_mut();
        let queued = queued.as_mut()?;
        queued.rounds_left = queued.rounds_left.checked_sub(1)?;
        Some(ListNews {
            age: now.saturating_duration_since(queued.read_at),
            ..queued.news.clone()
        })
    }

    /// Takes in that a configuration exists, and tells it on if it is news.
    pub(crate) fn record_version(&self, version: u64) {
        if self.gossip.borrow_mut().hear_revision(version) {
            self.newer_version.notify_one();
            self.request_round();
        }
    }

    /// Returns the newest configuration that was heard of.
    pub(crate) fn get_newest_version(&self) -> u64 {
        self.gossip.borrow().get_newest_revision()
    }

    /// Returns the number of peers that are live.
    pub(crate) fn count_live(&self, now: Instant) -> usize {
        self.gossip.borrow().count_live(now)
    }

    /// Returns the size of the fleet, none as long as no other VM is known.
    pub(crate) fn get_fleet_size(&self, now: Instant) -> Option<u16> {
        let size = self.gossip.borrow_mut().count_vms(now);
        (size > 1).then_some(size)
    }
}

impl Gateway {
    /// Returns what this VM says about itself; each call is a newer word.
    pub(super) fn make_own_view(&self) -> PeerView {
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
