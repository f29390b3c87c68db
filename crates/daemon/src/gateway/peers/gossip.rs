//! Gossip rounds between VMs.

use super::limits::receive_limits;
use super::register::remove_rows;
use crate::gateway::feeds::apply_list_update;
use crate::gateway::state::Gateway;
use crate::telemetry::STATE_LOG_TARGET;
use gentianridge_core::{
    ByteBudget, FleetLimits, StallDetector, TargetListUpdate, UpdateContent, VmName,
};
use gentianridge_wire::{LimitDatagram, PeerDatagram};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, UNIX_EPOCH};
use tokio::net::UdpSocket;

/// Delay of a requested round, so that further changes go into the same
/// datagram; far below the time of one request.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// Longest time between two gossip rounds.
pub(super) const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// Sends and receives datagrams until the task is dropped.
pub(crate) async fn run_gossip(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let started = gateway.clock.wall().duration_since(UNIX_EPOCH);
    let incarnation = started.map_or(1, |since| since.as_millis() as u64);
    gateway.peers.raise_incarnation(incarnation);
    let runner = Rc::new(GossipRunner {
        gateway,
        socket,
        budget: RefCell::new(ByteBudget::new()),
        stall: RefCell::default(),
    });
    // If either part fails, both are started again.
    tokio::select! {
        () = runner.clone().receive() => {}
        () = runner.run_rounds() => {}
    }
}

/// Why a round is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RoundKind {
    /// The interval has passed: heartbeats, which may wait if bytes are short.
    Routine,
    /// Something has changed that the peers need at once.
    Urgent,
}

struct GossipRunner {
    gateway: Rc<Gateway>,
    socket: Rc<UdpSocket>,
    budget: RefCell<ByteBudget>,
    stall: RefCell<StallDetector>,
}

impl GossipRunner {
    async fn run_rounds(&self) {
        let mut next_routine = self.gateway.clock.now() + ROUND_INTERVAL;
        loop {
            let requested = self.gateway.peers.round_requested.notified();
            let requested = tokio::time::timeout_at(next_routine.into(), requested).await;
            if requested.is_ok() {
                tokio::time::sleep(BATCH_DELAY).await;
            }
            let now = self.gateway.clock.now();
            self.observe_run(now);
            if now < next_routine {
                self.send_round(now, RoundKind::Urgent);
                continue;
            }
            next_routine = now + ROUND_INTERVAL;
            update_members(&self.gateway, now);
            self.gateway.check_proof();
            if self.gateway.limits.read(FleetLimits::needs_list) {
                self.gateway.peers.request_rows();
            }
            self.send_round(now, RoundKind::Routine);
        }
    }

    fn observe_run(&self, now: Instant) {
        if self.stall.borrow_mut().observe(now) {
            log::info!(target: STATE_LOG_TARGET, "this process did not run for a while");
        }
    }

    fn send_round(&self, now: Instant, kind: RoundKind) {
        let round = self.gateway.peers.gossip.borrow_mut().next_peers(now);
        let mut datagram = make_datagram(&self.gateway, now, kind);
        datagram.leaving = self.gateway.peers.leaving.borrow_mut().next_round();
        datagram.paused = self.gateway.peers.paused.borrow_mut().next_round();
        datagram.list = self.gateway.peers.next_list_update(now);
        let has_news = self.gateway.peers.next_evacuation_round()
            || datagram.list.is_some()
            || !datagram.leaving.is_empty();
        let kind = if has_news { RoundKind::Urgent } else { kind };
        let bytes = encode_within_limit(&mut datagram);
        for addr in round.peers {
            self.send(now, addr, &bytes, kind);
        }
        datagram.is_hello = true;
        let hello = encode_within_limit(&mut datagram);
        for addr in round.unconfirmed {
            self.send(now, addr, &hello, kind);
        }
    }

    /// Sends a datagram if the byte budget covers it. Datagrams are not acknowledged,
    /// since the next rounds repeat their content.
    fn send(&self, now: Instant, addr: SocketAddr, bytes: &[u8], kind: RoundKind) {
        let is_affordable = {
            let mut budget = self.budget.borrow_mut();
            match kind {
                RoundKind::Routine => budget.try_consume_routine(now, bytes.len()),
                RoundKind::Urgent => budget.try_consume(now, bytes.len()),
            }
        };
        if !is_affordable {
            self.gateway.metrics.record_datagram("skipped", 0);
            return;
        }
        match self.socket.try_send_to(bytes, addr) {
            Ok(size) => self.gateway.metrics.record_datagram("sent", size),
            Err(error) => log::debug!("cannot send to peer {addr}: {error}"),
        }
    }

    async fn receive(self: Rc<Self>) {
        let mut buf = vec![0; PeerDatagram::MAX_BYTES];
        loop {
            let (size, addr) = match self.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("cannot receive from a peer: {error}");
                    tokio::time::sleep(BATCH_DELAY).await;
                    continue;
                }
            };
            if LimitDatagram::is_kind(&buf[..size]) {
                receive_limits(&self.gateway, addr, &buf[..size]);
                continue;
            }
            match PeerDatagram::decode(&buf[..size]) {
                Ok(datagram) => self.apply_datagram(addr, datagram),
                Err(error) => log::warn!("datagram of {addr} dropped: {error}"),
            }
        }
    }

    fn apply_datagram(&self, addr: SocketAddr, mut datagram: PeerDatagram) {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        self.observe_run(now);
        // Replies go to the source address, so that address is recorded.
        datagram.me.addr = addr;
        let revision = datagram.me.revision;
        let mut is_change = false;
        for view in std::iter::once(datagram.me).chain(datagram.peers) {
            is_change |= gateway
                .peers
                .gossip
                .borrow_mut()
                .record_heartbeat(now, view);
        }
        for summary in datagram.summaries {
            gateway
                .peers
                .gossip
                .borrow_mut()
                .record_summary(now, summary);
        }
        if is_change {
            update_members(gateway, now);
        }
        gateway.adopt_era(datagram.era);
        if let Some(evacuations) = datagram.evacuations {
            gateway.apply_evacuations(evacuations, "peer");
        }
        gateway.apply_crash_records(&datagram.crashes);
        for digest in datagram.leaving {
            gateway.record_leaving(digest, "peer");
        }
        for digest in datagram.paused {
            gateway.record_peer_pause(digest);
        }
        // The age of an update that waited during a stall is unknown.
        let has_backlog = self.stall.borrow().has_backlog(now);
        if let Some(update) = datagram.list.filter(|_| !has_backlog) {
            apply_list_update(gateway, update, addr);
        }
        gateway.adopt_proof(datagram.proof);
        gateway.peers.record_config_holder(revision, addr);
        gateway.peers.record_version(datagram.newest_revision);
        if datagram.is_hello {
            let mut reply = make_datagram(gateway, now, RoundKind::Routine);
            // The reply shows to a VM that has just started that a list exists.
            reply.list = make_list_header(gateway, now);
            self.send(
                now,
                addr,
                &encode_within_limit(&mut reply),
                RoundKind::Urgent,
            );
        }
    }
}

/// Builds a datagram about this VM, without a list update. Routine ones describe other
/// VMs too.
fn make_datagram(gateway: &Gateway, now: Instant, kind: RoundKind) -> PeerDatagram {
    let mut gossip = gateway.peers.gossip.borrow_mut();
    let (peers, summaries) = match kind {
        RoundKind::Routine => (gossip.choose_peer_views(now), gossip.choose_summaries(now)),
        RoundKind::Urgent => (Vec::new(), Vec::new()),
    };
    PeerDatagram {
        me: gateway.make_own_view(),
        is_hello: false,
        newest_revision: gateway.get_version().max(gossip.get_newest_revision()),
        crashes: gateway.get_crash_records(),
        list: None,
        leaving: Vec::new(),
        paused: Vec::new(),
        evacuations: gateway.list.borrow().get_emptied().get_message(),
        proof: gateway.get_proof(),
        era: gateway.get_era_notice(),
        peers,
        summaries,
    }
}

/// Returns the version and the age of the target list of this VM.
fn make_list_header(gateway: &Gateway, now: Instant) -> Option<TargetListUpdate> {
    let list = gateway.list.borrow();
    Some(TargetListUpdate {
        version: list.get_version()?,
        age: list.get_age(now)?,
        digest: list.get_digest(),
        revision: gateway.get_version(),
        content: UpdateContent::Omitted,
        ..TargetListUpdate::default()
    })
}

/// Encodes a datagram; parts that do not fit are left out, the least important
/// first. Peers fetch the changes of the list if those are left out.
fn encode_within_limit(datagram: &mut PeerDatagram) -> Vec<u8> {
    let mut bytes = datagram.encode();
    if bytes.len() > PeerDatagram::MAX_BYTES {
        datagram.peers.clear();
        datagram.summaries.clear();
        bytes = datagram.encode();
    }
    if bytes.len() > PeerDatagram::MAX_BYTES {
        datagram.list = datagram.list.as_ref().map(TargetListUpdate::omit_changes);
        bytes = datagram.encode();
    }
    bytes
}

/// Records peers that joined, left or became silent, and removes the rows of
/// those that are gone.
fn update_members(gateway: &Rc<Gateway>, now: Instant) {
    let (events, gone) = gateway.peers.gossip.borrow_mut().tick(now);
    gateway.list_limit_members();
    if !events.is_empty() {
        for event in events {
            gateway.journal.record(event);
        }
        update_fleet_size(gateway, now);
    }
    gateway.update_cold_owners();
    let to_remove: Vec<VmName> = {
        let gossip = gateway.peers.gossip.borrow();
        gone.into_iter()
            .filter(|vm| gossip.is_cleanup_owner(now, vm))
            .collect()
    };
    if !to_remove.is_empty() {
        tokio::task::spawn_local(remove_rows(gateway.clone(), to_remove));
    }
}

/// Sets the number of VMs among which the services divide shared budgets.
pub(super) fn update_fleet_size(gateway: &Gateway, now: Instant) {
    let vms = gateway.peers.gossip.borrow_mut().count_vms(now);
    gateway.for_each_service(|service| service.set_fleet(vms, 0));
}
