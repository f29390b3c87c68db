//! State of the peers, and the list update to send to them.

use crate::gateway::state::Gateway;
use gentianridge_core::{
    DomainName, GossipState, NoticeQueue, PeerView, ReadTurn, TargetListUpdate, UpdateContent,
    VmName,
};
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Number of rounds in which a list update is sent. With a fanout of four, one
/// VM in three thousand does not receive it, and reads the list itself.
const UPDATE_ROUNDS: u8 = 2;
/// Time by which a read has to be newer for an update without a newer version to be
/// relayed. If several VMs read at the same time, relays of each would use up the byte
/// budget.
const RELAY_TOLERANCE: Duration = Duration::from_millis(150);

/// A list update to send in the next rounds.
#[derive(Debug)]
struct QueuedUpdate {
    update: TargetListUpdate,
    read_at: Instant,
    rounds_left: u8,
}

/// The peers of this VM.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(super) gossip: RefCell<GossipState>,
    pub(super) round_requested: Notify,
    lacking: Notify,
    list_update: Notify,
    store_read: Notify,
    proof_request: Notify,
    rows_request: Notify,
    registered: Notify,
    is_store_read_requested: Cell<bool>,
    list_holder: Cell<Option<SocketAddr>>,
    config_holder: Cell<Option<(u64, SocketAddr)>>,
    queued: RefCell<Option<QueuedUpdate>>,
    /// Rounds left in which a change of the emptied failure domains is urgent.
    evacuation_rounds: Cell<u8>,
    pub(super) leaving: RefCell<NoticeQueue>,
    pub(super) paused: RefCell<NoticeQueue>,
    seq: Cell<u64>,
    incarnation: Cell<u64>,
    /// True once the row of this process is in the store.
    is_registered: Cell<bool>,
    /// True if the store held a row of an earlier process of this VM.
    was_registered: Cell<bool>,
}

impl Peers {
    pub(crate) fn new(me: VmName, domain: DomainName) -> Self {
        let mut gossip = GossipState::new(me, rand::rng().random());
        gossip.set_domain(domain);
        Self {
            gossip: RefCell::new(gossip),
            round_requested: Notify::new(),
            lacking: Notify::new(),
            list_update: Notify::new(),
            store_read: Notify::new(),
            proof_request: Notify::new(),
            rows_request: Notify::new(),
            registered: Notify::new(),
            is_store_read_requested: Cell::new(false),
            list_holder: Cell::new(None),
            config_holder: Cell::new(None),
            queued: RefCell::new(None),
            evacuation_rounds: Cell::new(0),
            leaving: RefCell::default(),
            paused: RefCell::default(),
            seq: Cell::new(0),
            incarnation: Cell::new(0),
            is_registered: Cell::new(false),
            was_registered: Cell::new(false),
        }
    }

    /// Raises the incarnation of this VM to `incarnation` if that is higher.
    pub(super) fn raise_incarnation(&self, incarnation: u64) {
        self.incarnation
            .set(self.incarnation.get().max(incarnation));
    }

    /// Records that this VM is registered in the store, and whether it was before.
    pub(super) fn set_registered(&self, was_registered: bool) {
        self.is_registered.set(true);
        self.was_registered.set(was_registered);
        self.registered.notify_waiters();
    }

    /// Waits until this process is registered in the store.
    pub(super) async fn wait_registered(&self) {
        while !self.is_registered() {
            self.registered.notified().await;
        }
    }

    /// Returns true once this process is registered in the store.
    pub(super) fn is_registered(&self) -> bool {
        self.is_registered.get()
    }

    /// Returns true if an earlier process of this VM was registered.
    pub(super) fn was_registered(&self) -> bool {
        self.was_registered.get()
    }

    /// Queues the notice that a target is leaving, and requests a round.
    pub(crate) fn queue_leaving(&self, digest: u64) {
        self.leaving.borrow_mut().push(digest);
        self.request_round();
    }

    /// Queues the notice that a target requested a pause from this VM.
    pub(crate) fn queue_paused(&self, digest: u64) {
        self.paused.borrow_mut().push(digest);
        self.request_round();
    }

    /// Queues a change of the emptied failure domains, and requests a round.
    ///
    /// Every datagram holds them; this lets the next ones use the bytes kept for what is
    /// urgent.
    pub(crate) fn queue_evacuations(&self) {
        self.evacuation_rounds.set(UPDATE_ROUNDS);
        self.request_round();
    }

    /// Returns true if this round sends a recent change of the emptied failure domains.
    pub(super) fn next_evacuation_round(&self) -> bool {
        let left = self.evacuation_rounds.get();
        self.evacuation_rounds.set(left.saturating_sub(1));
        left > 0
    }

    /// Requests a round at once, to send an urgent change.
    pub(crate) fn request_round(&self) {
        self.round_requested.notify_one();
    }

    /// Waits until a peer has announced something that this VM may lack.
    pub(super) async fn wait_lacking(&self) {
        self.lacking.notified().await;
    }

    /// Wakes the task that fetches from peers.
    pub(crate) fn notify_lacking(&self) {
        self.lacking.notify_one();
    }

    /// Requests a read of the store, because no peer has what this VM lacks.
    pub(super) fn request_store_read(&self) {
        self.is_store_read_requested.set(true);
        self.store_read.notify_one();
    }

    /// Wakes the task that looks for a newer proof of the configuration.
    pub(crate) fn request_proof(&self) {
        self.proof_request.notify_one();
    }

    /// Waits until a newer proof is requested.
    pub(super) async fn wait_proof_request(&self) {
        self.proof_request.notified().await;
    }

    /// Wakes the task that reads the rows of the VMs.
    pub(super) fn request_rows(&self) {
        self.rows_request.notify_one();
    }

    /// Waits until a read of the rows of the VMs is requested.
    pub(super) async fn wait_rows_request(&self) {
        self.rows_request.notified().await;
    }

    /// Returns true if a read of the store was requested since the last call.
    pub(crate) fn take_store_read_request(&self) -> bool {
        self.is_store_read_requested.take()
    }

    /// Waits until a read of the store is requested.
    pub(crate) async fn wait_store_read(&self) {
        self.store_read.notified().await;
    }

    /// Records the peer that announced changes of the list which this VM lacks.
    pub(crate) fn set_list_holder(&self, addr: SocketAddr) {
        self.list_holder.set(Some(addr));
        self.notify_lacking();
    }

    pub(super) fn get_list_holder(&self) -> Option<SocketAddr> {
        self.list_holder.get()
    }

    /// Records that a peer has a configuration in force.
    pub(super) fn record_config_holder(&self, version: u64, addr: SocketAddr) {
        let newest = self.config_holder.get().map_or(0, |(newest, _)| newest);
        if version > newest {
            self.config_holder.set(Some((version, addr)));
            self.notify_lacking();
        }
    }

    /// Returns the peer that announced the newest configuration, if it has it in
    /// force.
    pub(super) fn get_config_holder(&self) -> Option<SocketAddr> {
        let (version, addr) = self.config_holder.get()?;
        (version >= self.get_newest_version()).then_some(addr)
    }

    /// Returns this VM's turn to read the store while `revision` is in force.
    pub(crate) fn get_turn(&self, now: Instant, revision: u64) -> ReadTurn {
        ReadTurn {
            rank: self.gossip.borrow().get_read_rank(now, revision),
            draw: rand::rng().random(),
        }
    }

    /// Wakes the task that waits for a list update of a peer.
    pub(crate) fn notify_list_update(&self) {
        self.list_update.notify_one();
    }

    /// Waits until a list update of a peer was received.
    pub(crate) async fn wait_list_update(&self) {
        self.list_update.notified().await;
    }

    /// Queues an update of the target list for the peers, from a read of this
    /// VM or received from a peer.
    pub(crate) fn queue_list_update(&self, now: Instant, update: TargetListUpdate) {
        let read_at = now.checked_sub(update.age).unwrap_or(now);
        // A complete list does not fit into a datagram.
        let update = match update.content {
            UpdateContent::Full => update.omit_changes(),
            UpdateContent::Changes | UpdateContent::Omitted => update,
        };
        let mut queued = self.queued.borrow_mut();
        let is_newer = queued.as_ref().is_none_or(|queued| {
            update.version > queued.update.version || read_at > queued.read_at + RELAY_TOLERANCE
        });
        if is_newer {
            *queued = Some(QueuedUpdate {
                update,
                read_at,
                rounds_left: UPDATE_ROUNDS,
            });
            self.request_round();
        }
    }

    /// Returns the list update to send in this round, with its age.
    pub(super) fn next_list_update(&self, now: Instant) -> Option<TargetListUpdate> {
        let mut queued = self.queued.borrow_mut();
        let queued = queued.as_mut()?;
        queued.rounds_left = queued.rounds_left.checked_sub(1)?;
        Some(TargetListUpdate {
            age: now.saturating_duration_since(queued.read_at),
            ..queued.update.clone()
        })
    }

    /// Records that a configuration exists, and requests a round if its version
    /// is the newest so far.
    pub(crate) fn record_version(&self, version: u64) {
        if self.gossip.borrow_mut().record_revision(version) {
            self.lacking.notify_one();
            self.request_round();
        }
    }

    /// Returns the newest configuration version that a peer has reported.
    pub(crate) fn get_newest_version(&self) -> u64 {
        self.gossip.borrow().get_newest_revision()
    }

    /// Returns the names of the other VMs that are known and not leaving.
    pub(crate) fn get_staying(&self, now: Instant) -> Vec<VmName> {
        self.gossip.borrow().get_staying(now)
    }

    /// Returns the number of peers that are live.
    pub(crate) fn count_live(&self, now: Instant) -> usize {
        self.gossip.borrow().count_live(now)
    }

    /// Returns the size of the fleet, `None` as long as no other VM is known.
    pub(crate) fn get_fleet_size(&self, now: Instant) -> Option<u16> {
        let size = self.gossip.borrow_mut().count_vms(now);
        (size > 1).then_some(size)
    }
}

impl Gateway {
    /// Returns this VM's view of itself; each call has a higher sequence number.
    pub(crate) fn make_own_view(&self) -> PeerView {
        let settings = self.get_settings();
        let peers = &self.peers;
        peers.seq.set(peers.seq.get() + 1);
        PeerView {
            vm: settings.vm.clone(),
            incarnation: peers.incarnation.get(),
            seq: peers.seq.get(),
            addr: settings.peers,
            operator_addr: None,
            is_leaving: self.is_stopping(),
            revision: self.get_version(),
            domain: settings.domain.clone(),
        }
    }
}
