//! The peers of this VM.

use gentianridge_core::{DomainName, VmName};
use gentianridge_wire::ListNews;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Time for which the largest fleet seen counts as the fleet's size: a VM that
/// is cut off from its peers must not take their parts of a shared budget.
const KEEP_SIZE: Duration = Duration::from_secs(60);

#[derive(Debug)]
pub(super) struct Peer {
    pub(super) vm: VmName,
    /// Failure domain, unknown until the peer was heard.
    pub(super) domain: DomainName,
    pub(super) addr: SocketAddr,
    pub(super) incarnation: u64,
    pub(super) seq: u64,
    pub(super) told: Option<Instant>,
    pub(super) heard: Option<Instant>,
    pub(super) greeted: Option<Instant>,
    pub(super) is_leaving: bool,
    pub(super) is_live: bool,
}

/// The peers of this VM. A peer's position is its index in the services.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(super) me: VmName,
    pub(super) changed: Notify,
    pub(super) newer: Notify,
    pub(super) list: Notify,
    /// Reading of the list to tell with the next datagram.
    pub(super) news: RefCell<Option<ListNews>>,
    pub(super) newest: Cell<u64>,
    pub(super) seq: Cell<u64>,
    pub(super) incarnation: Cell<u64>,
    pub(super) peers: RefCell<Vec<Peer>>,
    pub(super) sizes: RefCell<Vec<(Instant, u16)>>,
}

impl Peers {
    pub(crate) fn new(me: VmName) -> Self {
        Self {
            me,
            changed: Notify::new(),
            newer: Notify::new(),
            list: Notify::new(),
            news: RefCell::new(None),
            newest: Cell::new(0),
            seq: Cell::new(0),
            incarnation: Cell::new(0),
            peers: RefCell::new(Vec::new()),
            sizes: RefCell::new(Vec::new()),
        }
    }

    /// Notes that this VM's attempts in flight have changed.
    pub(crate) fn note_load_change(&self) {
        self.changed.notify_one();
    }

    /// Waits until a peer names a newer configuration than the one in force.
    pub(crate) async fn wait_newer_version(&self) {
        self.newer.notified().await;
    }

    /// Tells the peers a reading of the list of targets.
    pub(crate) fn tell_list(&self, news: ListNews) {
        *self.news.borrow_mut() = Some(news);
        self.changed.notify_one();
    }

    /// Notes that a peer told a reading.
    pub(crate) fn note_list(&self) {
        self.list.notify_one();
    }

    /// Waits until a peer has told a reading.
    pub(crate) async fn wait_list(&self) {
        self.list.notified().await;
    }

    pub(super) fn add(&self, vm: &VmName, addr: SocketAddr) -> usize {
        let mut peers = self.peers.borrow_mut();
        if let Some(index) = peers.iter().position(|peer| peer.vm == *vm) {
            if peers[index].heard.is_none() {
                peers[index].addr = addr;
            }
            return index;
        }
        let peer = Peer {
            vm: vm.clone(),
            domain: DomainName::default(),
            addr,
            incarnation: 0,
            seq: 0,
            told: None,
            heard: None,
            greeted: None,
            is_leaving: false,
            is_live: false,
        };
        // A forgotten peer's place is taken over, since services know it by its index.
        match peers.iter().position(|peer| peer.vm.is_empty()) {
            Some(index) => {
                peers[index] = peer;
                index
            }
            None => {
                peers.push(peer);
                peers.len() - 1
            }
        }
    }

    /// Returns the newest configuration that a peer has in force.
    pub(crate) fn get_newest_version(&self) -> u64 {
        self.newest.get()
    }

    /// Returns the number of peers that are heard.
    pub(crate) fn count_live(&self) -> usize {
        self.peers.borrow().iter().filter(|p| p.is_live).count()
    }

    /// Returns the size of the fleet, none as long as no peer was heard.
    pub(crate) fn get_size(&self, now: Instant) -> Option<u16> {
        let size = self.count_vms(now);
        (size > 1).then_some(size)
    }

    /// Returns the largest number of VMs that was live lately.
    pub(super) fn count_vms(&self, now: Instant) -> u16 {
        let live = self.count_live() as u16 + 1;
        let mut sizes = self.sizes.borrow_mut();
        sizes.retain(|(at, size)| now.saturating_duration_since(*at) < KEEP_SIZE && *size > live);
        sizes.push((now, live));
        sizes.iter().map(|(_, size)| *size).max().unwrap_or(live)
    }
}
