//! Gossip: the heartbeats that VMs send to each other.

use super::Fleet;
use gentianridge_core::{
    ByteBudget, CrashRecord, Heartbeat, PeerState, PeerView, RevisionRecord, TargetNotice,
};
use gentianridge_wire::{
    Framed, PeerMessage, WireError, WireErrorKind, new_framed, read_message, write_message,
};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// Time between two gossip rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two rounds when an update should not wait.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(20);
/// Peers addressed in one round.
const FANOUT: usize = 4;
/// Other peers whose state one message carries, in fleets where a round does
/// not reach every peer.
const DIGEST_SIZE: usize = 4;
/// Largest number of crash records, and of notices, in one message.
const MAX_RECORDS: usize = 16;
/// Longest time for one message and its reply.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a connection without a message is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of peers for each multiple of the silence time: in a larger fleet, a
/// heartbeat takes more rounds to reach every peer.
const PEERS_PER_SILENCE: usize = 8;

type Connection = Framed<TcpStream>;

/// Sends heartbeats until the task is dropped.
pub(crate) async fn run_gossip(fleet: Arc<Fleet>) {
    let sender = GossipSender::new();
    loop {
        let started = fleet.clock.now();
        advance_time(&fleet, started);
        sender.run_round(&fleet).await;
        tokio::select! {
            () = tokio::time::sleep(ROUND_INTERVAL) => {}
            () = fleet.gossip_wakeup.notified() => tokio::time::sleep(MIN_ROUND_INTERVAL).await,
        }
    }
}

fn advance_time(fleet: &Fleet, now: Instant) {
    let events = fleet.membership.lock().tick(now);
    let has_changes = !events.is_empty();
    for event in events {
        fleet.journal.record(event);
    }
    if has_changes {
        fleet.update_live_vms();
    }
    let lifted = fleet.quarantine.lock().expire(now);
    fleet.record_quarantine_changes(lifted);
    let at = fleet.journal.tick();
    fleet.notices.lock().expire(at);
}

/// Open connections to peers and the byte budget for sending.
#[derive(Debug)]
struct GossipSender {
    connections: Mutex<Vec<(SocketAddr, Connection)>>,
    budget: Mutex<ByteBudget>,
}

impl GossipSender {
    fn new() -> Self {
        Self {
            connections: Mutex::new(Vec::new()),
            budget: Mutex::new(ByteBudget::new()),
        }
    }

    async fn run_round(&self, fleet: &Arc<Fleet>) {
        let peers = choose_peers(fleet);
        let message = PeerMessage::Heartbeat(make_heartbeat(fleet));
        let size = message.encode().len();
        let sends = peers.into_iter().filter_map(|addr| {
            let is_affordable = self.budget.lock().try_consume(fleet.clock.now(), size);
            is_affordable.then(|| self.send(fleet, addr, &message))
        });
        futures_util::future::join_all(sends).await;
    }

    /// Sends one message. The connection is dropped if no reply arrives in time.
    async fn send(&self, fleet: &Arc<Fleet>, addr: SocketAddr, message: &PeerMessage) {
        let pooled = self.take_connection(addr);
        let exchange = async {
            let mut connection = match pooled {
                Some(connection) => connection,
                None => connect(addr).await?,
            };
            let bytes = write_message(&mut connection, message).await?;
            fleet.metrics.record_peer_bytes(bytes);
            let reply = read_message(&mut connection).await?;
            Ok::<_, WireError>((connection, reply))
        };
        match tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await {
            Ok(Ok((connection, Some(reply)))) => {
                handle_reply(fleet, reply);
                self.connections.lock().push((addr, connection));
            }
            Ok(Err(error)) if error.get_kind() != WireErrorKind::Io => {
                fleet.metrics.record_peer_fault();
            }
            _ => {}
        }
    }

    fn take_connection(&self, addr: SocketAddr) -> Option<Connection> {
        let mut connections = self.connections.lock();
        let index = connections.iter().position(|(known, _)| *known == addr)?;
        Some(connections.swap_remove(index).1)
    }
}

async fn connect(addr: SocketAddr) -> Result<Connection, WireError> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(new_framed(stream))
}

/// Returns known peers, and one bootstrap address that no active peer has.
fn choose_peers(fleet: &Fleet) -> Vec<SocketAddr> {
    let now = fleet.clock.now();
    let mut membership = fleet.membership.lock();
    let mut peers: Vec<SocketAddr> = membership
        .next_peers(FANOUT)
        .into_iter()
        .map(|peer| peer.addr)
        .collect();
    let active: Vec<SocketAddr> = membership
        .get_peers(now)
        .filter(|(_, state)| *state != PeerState::Silent)
        .map(|(peer, _)| peer.addr)
        .collect();
    drop(membership);
    let mut bootstrap = fleet.bootstrap.lock();
    let unconfirmed = bootstrap.iter().position(|addr| !active.contains(addr));
    if let Some(index) = unconfirmed {
        // Rotates the list, so that one unreachable address does not block the next.
        let addr = bootstrap.remove(index);
        bootstrap.push(addr);
        peers.push(addr);
    }
    peers
}

fn make_heartbeat(fleet: &Fleet) -> Heartbeat {
    let now = fleet.clock.now();
    let membership = fleet.membership.lock();
    let count = membership.get_peers(now).count();
    let peers = if count > FANOUT {
        membership.get_recent_peers(now, DIGEST_SIZE)
    } else {
        Vec::new()
    };
    drop(membership);
    Heartbeat {
        fleet: fleet.settings.fleet.clone(),
        me: PeerView {
            vm: fleet.me.clone(),
            incarnation: fleet.incarnation,
            seq: fleet.seq.fetch_add(1, Ordering::Relaxed) + 1,
            addr: fleet.settings.peers,
            operator_addr: Some(fleet.settings.operators),
            is_leaving: fleet.is_stopping(),
            revision: fleet.get_revision(),
            domain: gentianridge_core::DomainName::default(),
        },
        at: fleet.journal.tick(),
        crashes: fleet.quarantine.lock().get_crash_records(now, MAX_RECORDS),
        notices: fleet.notices.lock().get_newest(MAX_RECORDS),
        peers,
    }
}

/// Accepts connections of peers until the task is dropped.
pub(crate) async fn run_peer_listener(fleet: Arc<Fleet>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // If no file descriptor is free, other tasks can close some meanwhile.
            tokio::time::sleep(MIN_ROUND_INTERVAL).await;
            continue;
        };
        tokio::spawn(serve_peer(fleet.clone(), stream));
    }
}

async fn serve_peer(fleet: Arc<Fleet>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut connection = new_framed(stream);
    loop {
        let message = match tokio::time::timeout(IDLE_TIMEOUT, read_message(&mut connection)).await
        {
            Ok(Ok(Some(message))) => message,
            Ok(Err(error)) if error.get_kind() != WireErrorKind::Io => {
                fleet.metrics.record_peer_fault();
                return;
            }
            _ => return,
        };
        let reply = handle_message(&fleet, message);
        if write_message(&mut connection, &reply).await.is_err() {
            return;
        }
    }
}

fn handle_message(fleet: &Arc<Fleet>, message: PeerMessage) -> PeerMessage {
    match message {
        PeerMessage::Heartbeat(heartbeat) => handle_heartbeat(fleet, heartbeat),
        PeerMessage::FetchRevision(number) => make_revision_reply(fleet, number),
        PeerMessage::Revision(record) => {
            adopt_from_peer(fleet, record);
            PeerMessage::Ack
        }
        PeerMessage::Ack => PeerMessage::Ack,
    }
}

/// Applies a heartbeat. The reply is the revision in force here if the sender
/// has an older one.
fn handle_heartbeat(fleet: &Arc<Fleet>, heartbeat: Heartbeat) -> PeerMessage {
    if heartbeat.fleet != fleet.settings.fleet || !fleet.journal.observe(heartbeat.at) {
        fleet.metrics.record_peer_fault();
        return PeerMessage::Ack;
    }
    let sender = heartbeat.me.clone();
    record_peers(fleet, heartbeat.me, heartbeat.peers);
    merge_crash_records(fleet, &heartbeat.crashes);
    merge_notices(fleet, heartbeat.notices);
    if sender.revision > fleet.get_revision() {
        tokio::spawn(fetch_revision(fleet.clone(), sender.addr));
    }
    if sender.revision < fleet.get_revision() {
        return make_revision_reply(fleet, sender.revision);
    }
    PeerMessage::Ack
}

fn record_peers(fleet: &Fleet, sender: PeerView, others: Vec<PeerView>) {
    let now = fleet.clock.now();
    let mut membership = fleet.membership.lock();
    membership.record_heartbeat(now, sender);
    for peer in others {
        membership.record_heartbeat(now, peer);
    }
    let count = membership.get_peers(now).count();
    let factor = count.div_ceil(PEERS_PER_SILENCE).max(1) as u32;
    membership.set_silence(gentianridge_core::Membership::SILENCE * factor);
    let events = membership.tick(now);
    drop(membership);
    if !events.is_empty() {
        for event in events {
            fleet.journal.record(event);
        }
        fleet.update_live_vms();
    }
}

fn merge_crash_records(fleet: &Fleet, records: &[CrashRecord]) {
    let now = fleet.clock.now();
    let mut quarantine = fleet.quarantine.lock();
    let changes: Vec<_> = records
        .iter()
        .filter(|record| record.vm != fleet.me)
        .filter_map(|record| quarantine.merge(now, record))
        .collect();
    drop(quarantine);
    fleet.record_quarantine_changes(changes);
}

fn merge_notices(fleet: &Fleet, notices: Vec<TargetNotice>) {
    for notice in notices {
        fleet.apply_notice(&notice);
    }
}

fn make_revision_reply(fleet: &Fleet, number: u64) -> PeerMessage {
    match fleet.get_current_revision() {
        Some(current) if current.record.number > number => PeerMessage::Revision(current.record),
        _ => PeerMessage::Ack,
    }
}

fn handle_reply(fleet: &Fleet, reply: PeerMessage) {
    if let PeerMessage::Revision(record) = reply {
        adopt_from_peer(fleet, record);
    }
}

fn adopt_from_peer(fleet: &Fleet, record: RevisionRecord) {
    fleet.adopt(record, "peer");
}

async fn fetch_revision(fleet: Arc<Fleet>, addr: SocketAddr) {
    let exchange = async {
        let mut connection = connect(addr).await?;
        let number = fleet.get_revision();
        write_message(&mut connection, &PeerMessage::FetchRevision(number)).await?;
        read_message(&mut connection).await
    };
    if let Ok(Ok(Some(reply))) = tokio::time::timeout(EXCHANGE_TIMEOUT * 4, exchange).await {
        handle_reply(&fleet, reply);
    }
}
