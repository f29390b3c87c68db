//! The exchange of heartbeats between VMs.

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

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(250);
/// Shortest time between two rounds when there is news.
const MIN_ROUND: Duration = Duration::from_millis(20);
/// Peers addressed in one round.
const PARTNERS: usize = 4;
/// Peers described to others in one message, in fleets too large to hear all.
const DIGEST: usize = 4;
/// Crash marks and notices in one message.
const NEWS: usize = 16;
/// Longest time for one message and its answer.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a connection without a message is closed.
const IDLE: Duration = Duration::from_secs(30);
/// Peers for which one round reaches everybody.
const DIRECT_PEERS: usize = 8;

type Connection = Framed<TcpStream>;

/// Sends heartbeats until the task is dropped.
pub(crate) async fn run_exchange(fleet: Arc<Fleet>) {
    let sender = Sender::new();
    loop {
        let started = fleet.clock.now();
        note_time(&fleet, started);
        sender.run_round(&fleet).await;
        tokio::select! {
            () = tokio::time::sleep(ROUND) => {}
            () = fleet.urgent.notified() => tokio::time::sleep(MIN_ROUND).await,
        }
    }
}

fn note_time(fleet: &Fleet, now: Instant) {
    let events = fleet.membership.lock().tick(now);
    let is_change = !events.is_empty();
    for event in events {
        fleet.journal.record(event);
    }
    if is_change {
        fleet.share_live();
    }
    let lifted = fleet.quarantine.lock().expire(now);
    fleet.record_quarantine(lifted);
    let at = fleet.journal.tick();
    fleet.notices.lock().expire(at);
}

/// Connections to peers and the budget of bytes.
#[derive(Debug)]
struct Sender {
    connections: Mutex<Vec<(SocketAddr, Connection)>>,
    budget: Mutex<ByteBudget>,
}

impl Sender {
    fn new() -> Self {
        Self {
            connections: Mutex::new(Vec::new()),
            budget: Mutex::new(ByteBudget::new()),
        }
    }

    async fn run_round(&self, fleet: &Arc<Fleet>) {
        let partners = choose_partners(fleet);
        let message = PeerMessage::Heartbeat(make_heartbeat(fleet));
        let size = message.encode().len();
        let sends = partners.into_iter().filter_map(|addr| {
            let is_affordable = self.budget.lock().try_consume(fleet.clock.now(), size);
            is_affordable.then(|| self.send(fleet, addr, &message))
        });
        futures_util::future::join_all(sends).await;
    }

    /// Sends one message; a connection that gives no answer in time is dropped.
    async fn send(&self, fleet: &Arc<Fleet>, addr: SocketAddr, message: &PeerMessage) {
        let known = self.take(addr);
        let talk = async {
            let mut connection = match known {
                Some(connection) => connection,
                None => connect(addr).await?,
            };
            let bytes = write_message(&mut connection, message).await?;
            fleet.metrics.record_peer_bytes(bytes);
            let answer = read_message(&mut connection).await?;
            Ok::<_, WireError>((connection, answer))
        };
        match tokio::time::timeout(TIMEOUT, talk).await {
            Ok(Ok((connection, Some(answer)))) => {
                handle_answer(fleet, answer);
                self.connections.lock().push((addr, connection));
            }
            Ok(Err(error)) if error.get_kind() != WireErrorKind::Io => {
                fleet.metrics.record_peer_fault();
            }
            _ => {}
        }
    }

    fn take(&self, addr: SocketAddr) -> Option<Connection> {
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

/// Peers heard before, and one that only the platform's list names.
fn choose_partners(fleet: &Fleet) -> Vec<SocketAddr> {
    let now = fleet.clock.now();
    let mut membership = fleet.membership.lock();
    let mut partners: Vec<SocketAddr> = membership
        .next_peers(PARTNERS)
        .into_iter()
        .map(|peer| peer.addr)
        .collect();
    let heard: Vec<SocketAddr> = membership
        .get_peers(now)
        .filter(|(_, state)| *state != PeerState::Silent)
        .map(|(peer, _)| peer.addr)
        .collect();
    drop(membership);
    let mut bootstrap = fleet.bootstrap.lock();
    let stranger = bootstrap.iter().position(|addr| !heard.contains(addr));
    if let Some(index) = stranger {
        // The list is turned, so that one dead address does not hide the next.
        let addr = bootstrap.remove(index);
        bootstrap.push(addr);
        partners.push(addr);
    }
    partners
}

fn make_heartbeat(fleet: &Fleet) -> Heartbeat {
    let now = fleet.clock.now();
    let membership = fleet.membership.lock();
    let count = membership.get_peers(now).count();
    let peers = if count > PARTNERS {
        membership.get_recent_peers(now, DIGEST)
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
        },
        at: fleet.journal.tick(),
        crashes: fleet.quarantine.lock().get_crash_records(now, NEWS),
        notices: fleet.notices.lock().get_newest(NEWS),
        peers,
    }
}

/// Takes messages of peers until the task is dropped.
pub(crate) async fn run_peer_listener(fleet: Arc<Fleet>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors: give other tasks time to close some.
            tokio::time::sleep(MIN_ROUND).await;
            continue;
        };
        tokio::spawn(serve_peer(fleet.clone(), stream));
    }
}

async fn serve_peer(fleet: Arc<Fleet>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut connection = new_framed(stream);
    loop {
        let message = match tokio::time::timeout(IDLE, read_message(&mut connection)).await {
            Ok(Ok(Some(message))) => message,
            Ok(Err(error)) if error.get_kind() != WireErrorKind::Io => {
                fleet.metrics.record_peer_fault();
                return;
            }
            _ => return,
        };
        let answer = handle_message(&fleet, message);
        if write_message(&mut connection, &answer).await.is_err() {
            return;
        }
    }
}

fn handle_message(fleet: &Arc<Fleet>, message: PeerMessage) -> PeerMessage {
    match message {
        PeerMessage::Heartbeat(heartbeat) => handle_heartbeat(fleet, heartbeat),
        PeerMessage::FetchRevision(number) => answer_fetch(fleet, number),
        PeerMessage::Revision(record) => {
            adopt_from_peer(fleet, record);
            PeerMessage::Ack
        }
        PeerMessage::Ack => PeerMessage::Ack,
    }
}

/// Takes in a heartbeat and answers with a newer revision if the sender lags.
fn handle_heartbeat(fleet: &Arc<Fleet>, heartbeat: Heartbeat) -> PeerMessage {
    if heartbeat.fleet != fleet.settings.fleet || !fleet.journal.observe(heartbeat.at) {
        fleet.metrics.record_peer_fault();
        return PeerMessage::Ack;
    }
    let sender = heartbeat.me.clone();
    hear_peers(fleet, heartbeat.me, heartbeat.peers);
    take_marks(fleet, &heartbeat.crashes);
    take_notices(fleet, heartbeat.notices);
    if sender.revision > fleet.get_revision() {
        tokio::spawn(fetch_revision(fleet.clone(), sender.addr));
    }
    if sender.revision < fleet.get_revision() {
        return answer_fetch(fleet, sender.revision);
    }
    PeerMessage::Ack
}

fn hear_peers(fleet: &Fleet, sender: PeerView, others: Vec<PeerView>) {
    let now = fleet.clock.now();
    let mut membership = fleet.membership.lock();
    membership.record_heartbeat(now, sender);
    for peer in others {
        membership.record_heartbeat(now, peer);
    }
    let count = membership.get_peers(now).count();
    let rounds = count.div_ceil(DIRECT_PEERS).max(1) as u32;
    membership.set_silence(gentianridge_core::Membership::SILENCE * rounds);
    let events = membership.tick(now);
    drop(membership);
    if !events.is_empty() {
        for event in events {
            fleet.journal.record(event);
        }
        fleet.share_live();
    }
}

fn take_marks(fleet: &Fleet, crashes: &[CrashRecord]) {
    let now = fleet.clock.now();
    let mut quarantine = fleet.quarantine.lock();
    let changes: Vec<_> = crashes
        .iter()
        .filter(|mark| mark.vm != fleet.me)
        .filter_map(|mark| quarantine.merge(now, mark))
        .collect();
    drop(quarantine);
    fleet.record_quarantine(changes);
}

fn take_notices(fleet: &Fleet, notices: Vec<TargetNotice>) {
    for notice in notices {
        fleet.notice(&notice);
    }
}

fn answer_fetch(fleet: &Fleet, number: u64) -> PeerMessage {
    match fleet.get_in_force() {
        Some(current) if current.record.number > number => PeerMessage::Revision(current.record),
        _ => PeerMessage::Ack,
    }
}

fn handle_answer(fleet: &Fleet, answer: PeerMessage) {
    if let PeerMessage::Revision(record) = answer {
        adopt_from_peer(fleet, record);
    }
}

fn adopt_from_peer(fleet: &Fleet, record: RevisionRecord) {
    fleet.adopt(record, "peer");
}

async fn fetch_revision(fleet: Arc<Fleet>, addr: SocketAddr) {
    let talk = async {
        let mut connection = connect(addr).await?;
        let number = fleet.get_revision();
        write_message(&mut connection, &PeerMessage::FetchRevision(number)).await?;
        read_message(&mut connection).await
    };
    if let Ok(Ok(Some(answer))) = tokio::time::timeout(TIMEOUT * 4, talk).await {
        handle_answer(&fleet, answer);
    }
}
