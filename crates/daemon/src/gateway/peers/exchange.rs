//! Datagrams between VMs.

use super::register::clear_rows;
use crate::gateway::feeds::take_list_news;
use crate::gateway::state::Gateway;
use gentianridge_core::{ByteBudget, VmName};
use gentianridge_wire::PeerDatagram;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, UNIX_EPOCH};
use tokio::net::UdpSocket;

/// Pause after something urgent within which more of it joins its datagram; far
/// below the time of one request.
const GATHER: Duration = Duration::from_millis(10);
/// Longest time between two rounds.
pub(super) const ROUND: Duration = Duration::from_millis(300);

/// Sends and receives datagrams until the task is dropped.
pub(crate) async fn run_peers(gateway: Rc<Gateway>, socket: UdpSocket) {
    let started = gateway.clock.wall().duration_since(UNIX_EPOCH);
    let incarnation = started.map_or(1, |since| since.as_millis() as u64);
    gateway.peers.raise_incarnation(incarnation);
    let exchange = Rc::new(Exchange {
        gateway,
        socket,
        budget: RefCell::new(ByteBudget::new()),
    });
    let receiver = tokio::task::spawn_local(exchange.clone().receive());
    exchange.run_rounds().await;
    receiver.abort();
}

struct Exchange {
    gateway: Rc<Gateway>,
    socket: UdpSocket,
    budget: RefCell<ByteBudget>,
}

impl Exchange {
    async fn run_rounds(&self) {
        loop {
            let urgent = self.gateway.peers.urgent.notified();
            if tokio::time::timeout(ROUND, urgent).await.is_ok() {
                tokio::time::sleep(GATHER).await;
            }
            let now = self.gateway.clock.now();
            note_time(&self.gateway, now);
            self.tell_partners(now);
        }
    }

    fn tell_partners(&self, now: Instant) {
        let partners = self.gateway.peers.roster.borrow_mut().next_peers(now);
        let mut datagram = make_datagram(&self.gateway, now);
        let small = encode_within_limit(&mut datagram);
        datagram.list = self.gateway.peers.next_list(now);
        let whole = encode_within_limit(&mut datagram);
        for addr in partners.peers {
            // A long reading must not keep back what else there is to tell.
            if !self.send(now, addr, &whole) {
                self.send(now, addr, &small);
            }
        }
        if let Some(addr) = partners.unconfirmed {
            datagram.is_hello = true;
            self.send(now, addr, &encode_within_limit(&mut datagram));
        }
    }

    /// Sends a datagram; returns false if the budget of bytes does not hold it.
    /// What it tells is told again in the next rounds, so that a lost one needs
    /// no answer.
    fn send(&self, now: Instant, addr: SocketAddr, bytes: &[u8]) -> bool {
        if !self.budget.borrow_mut().try_consume(now, bytes.len()) {
            self.gateway.metrics.record_datagram("skipped", 0);
            return false;
        }
        match self.socket.try_send_to(bytes, addr) {
            Ok(size) => self.gateway.metrics.record_datagram("sent", size),
            Err(error) => log::debug!("cannot send to peer {addr}: {error}"),
        }
        true
    }

    async fn receive(self: Rc<Self>) {
        let mut buf = vec![0; PeerDatagram::MAX_BYTES];
        loop {
            let (size, addr) = match self.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("cannot receive from a peer: {error}");
                    tokio::time::sleep(GATHER).await;
                    continue;
                }
            };
            match PeerDatagram::decode(&buf[..size]) {
                Ok(datagram) => self.take(addr, datagram),
                Err(error) => log::warn!("datagram of {addr} dropped: {error}"),
            }
        }
    }

    fn take(&self, addr: SocketAddr, mut datagram: PeerDatagram) {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        // The address that it came from is the one that can be answered.
        datagram.me.addr = addr;
        let mut is_change = false;
        for view in std::iter::once(datagram.me).chain(datagram.peers) {
            is_change |= gateway
                .peers
                .roster
                .borrow_mut()
                .record_heartbeat(now, view);
        }
        for pulse in datagram.pulses {
            gateway.peers.roster.borrow_mut().record_summary(now, pulse);
        }
        if is_change {
            note_time(gateway, now);
        }
        gateway.take_marks(&datagram.crashes);
        if let Some(news) = datagram.list {
            take_list_news(gateway, news);
        }
        gateway.peers.hear_version(datagram.newest_revision);
        if datagram.is_hello {
            let mut answer = make_datagram(gateway, now);
            self.send(now, addr, &encode_within_limit(&mut answer));
        }
    }
}

/// Describes this VM and its peers, without a reading.
fn make_datagram(gateway: &Gateway, now: Instant) -> PeerDatagram {
    let mut roster = gateway.peers.roster.borrow_mut();
    PeerDatagram {
        me: gateway.describe_me(),
        is_hello: false,
        newest_revision: gateway.get_version().max(roster.get_newest_revision()),
        crashes: gateway.get_marks_to_tell(),
        list: None,
        peers: roster.choose_peer_views(now),
        pulses: roster.choose_summaries(now),
    }
}

/// Encodes a datagram; what does not fit is left out, the least important
/// first. Peers that do not hear of a reading read the list themselves.
fn encode_within_limit(datagram: &mut PeerDatagram) -> Vec<u8> {
    let mut bytes = datagram.encode();
    if bytes.len() > PeerDatagram::MAX_BYTES {
        datagram.peers.clear();
        datagram.pulses.clear();
        bytes = datagram.encode();
    }
    if bytes.len() > PeerDatagram::MAX_BYTES {
        datagram.list = None;
        bytes = datagram.encode();
    }
    bytes
}

/// Takes note of peers that came, left or fell silent.
fn note_time(gateway: &Rc<Gateway>, now: Instant) {
    let (events, gone) = gateway.peers.roster.borrow_mut().tick(now);
    if !events.is_empty() {
        for event in events {
            gateway.journal.record(event);
        }
        share_size(gateway, now);
    }
    let mine: Vec<VmName> = {
        let roster = gateway.peers.roster.borrow();
        gone.into_iter()
            .filter(|vm| roster.is_cleanup_owner(now, vm))
            .collect()
    };
    if !mine.is_empty() {
        tokio::task::spawn_local(clear_rows(gateway.clone(), mine));
    }
}

/// Tells the services over how many VMs shared budgets are divided.
pub(super) fn share_size(gateway: &Gateway, now: Instant) {
    let vms = gateway.peers.roster.borrow_mut().count_vms(now);
    gateway.for_each_service(|service| service.set_fleet(vms, 0));
}
