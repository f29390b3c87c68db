//! Datagrams between VMs.

use super::table::Peers;
use crate::gateway::feeds::take_list_news;
use crate::gateway::state::{Gateway, Phase};
use gentianridge_core::{EventKind, TargetKey, VmName};
use gentianridge_wire::{PeerDatagram, TargetLoad};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, UNIX_EPOCH};
use tokio::net::UdpSocket;

/// Pause after a change within which further changes join its datagram; far
/// below the time of one request.
const GATHER: Duration = Duration::from_millis(10);
/// Longest time between two datagrams.
pub(super) const REPEAT: Duration = Duration::from_millis(300);
/// Shortest time between two datagrams to a peer in another failure domain;
/// three of them fit into the time for which counts are fresh.
const FAR_REPEAT: Duration = Duration::from_millis(290);
/// Silence after which a peer gets only a greeting a second.
const SILENT: Duration = Duration::from_secs(3);
/// Shortest time between two greetings of a silent peer.
const GREET: Duration = Duration::from_secs(1);
/// Time after which a silent peer is forgotten.
const FORGET: Duration = Duration::from_secs(120);

/// Sends and receives datagrams until the task is dropped.
pub(crate) async fn run_peers(gateway: Rc<Gateway>, socket: UdpSocket) {
    let started = gateway.clock.wall().duration_since(UNIX_EPOCH);
    let incarnation = started.map_or(1, |since| since.as_millis() as u64);
    gateway.peers.incarnation.set(incarnation);
    let socket = Rc::new(socket);
    let receiver = tokio::task::spawn_local(receive(gateway.clone(), socket.clone()));
    send(gateway, socket).await;
    receiver.abort();
}

async fn send(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut told_version = 0;
    loop {
        let _ = tokio::time::timeout(REPEAT, gateway.peers.changed.notified()).await;
        tokio::time::sleep(GATHER).await;
        let now = gateway.clock.now();
        judge_silence(&gateway, now);
        let mut datagram = make_datagram(&gateway);
        let version = datagram.version;
        let bytes = encode_with_list(&gateway.peers, &mut datagram);
        let is_urgent = bytes.len() > datagram.encode().len() || version != told_version;
        told_version = version;
        datagram.is_hello = true;
        let greeting = datagram.encode();
        for (addr, is_greeting) in choose_receivers(&gateway, now, is_urgent) {
            let bytes = if is_greeting { &greeting } else { &bytes };
            // Loads are told again soon, so that a lost datagram needs no answer.
            if let Err(error) = socket.try_send_to(bytes, addr) {
                log::debug!("cannot send to peer {addr}: {error}");
            }
        }
    }
}

/// Adds the reading to tell; one that does not fit is left out, and the peers
/// read the store themselves.
fn encode_with_list(peers: &Peers, datagram: &mut PeerDatagram) -> Vec<u8> {
    datagram.list = peers.news.take();
    let bytes = datagram.encode();
    if datagram.list.take().is_some() && bytes.len() > PeerDatagram::MAX_BYTES {
        return datagram.encode();
    }
    bytes
}

/// Chooses who is told now, and who is only greeted.
///
/// Loads matter most within a failure domain, whose targets are preferred.
/// Peers in another one hear of them less often, since bytes between domains
/// cost money; what is urgent goes to all at once.
fn choose_receivers(gateway: &Gateway, now: Instant, is_urgent: bool) -> Vec<(SocketAddr, bool)> {
    let is_within = |at: Option<Instant>, limit: Duration| {
        at.is_some_and(|at| now.saturating_duration_since(at) < limit)
    };
    let my_domain = gateway.get_settings().domain.clone();
    let mut chosen = Vec::new();
    for peer in gateway.peers.peers.borrow_mut().iter_mut() {
        if peer.vm.is_empty() {
            continue;
        }
        if is_within(peer.heard, SILENT) {
            let is_far = peer.domain != my_domain;
            if is_urgent || !is_far || !is_within(peer.told, FAR_REPEAT) {
                peer.told = Some(now);
                chosen.push((peer.addr, false));
            }
        } else if !is_within(peer.greeted, GREET) {
            peer.greeted = Some(now);
            chosen.push((peer.addr, true));
        }
    }
    chosen
}

fn make_datagram(gateway: &Gateway) -> PeerDatagram {
    let peers = &gateway.peers;
    peers.seq.set(peers.seq.get() + 1);
    let mut loads = Vec::new();
    gateway.for_each_service(|service| {
        service.read(|machine, _| {
            for key in machine.get_target_keys() {
                let in_flight = machine.get_in_flight(key);
                if let Some(target) = machine.get_target(key).filter(|_| in_flight > 0) {
                    loads.push(TargetLoad {
                        target: target.get_incarnation().get_digest(),
                        in_flight,
                    });
                }
            }
        });
    });
    PeerDatagram {
        vm: peers.me.clone(),
        domain: gateway.get_settings().domain.clone(),
        incarnation: peers.incarnation.get(),
        seq: peers.seq.get(),
        version: gateway.get_version(),
        is_hello: false,
        is_leaving: gateway.get_phase() == Phase::Stopping,
        loads,
        crashes: gateway.get_own_marks(),
        list: None,
    }
}

async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; PeerDatagram::MAX_BYTES];
    loop {
        let (size, addr) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("cannot receive from a peer: {error}");
                tokio::time::sleep(GATHER).await;
                continue;
            }
        };
        match PeerDatagram::decode(&buf[..size]) {
            Ok(datagram) => take(&gateway, addr, &datagram),
            Err(error) => log::warn!("datagram of {addr} dropped: {error}"),
        }
    }
}

fn take(gateway: &Rc<Gateway>, addr: SocketAddr, datagram: &PeerDatagram) {
    let peers = &gateway.peers;
    if datagram.vm.is_empty() || datagram.vm == peers.me {
        return;
    }
    let now = gateway.clock.now();
    let index = peers.add(&datagram.vm, addr);
    let is_news = {
        let mut peers = peers.peers.borrow_mut();
        let peer = &mut peers[index];
        if (datagram.incarnation, datagram.seq) <= (peer.incarnation, peer.seq) {
            return;
        }
        peer.incarnation = datagram.incarnation;
        peer.seq = datagram.seq;
        peer.addr = addr;
        peer.domain = datagram.domain.clone();
        peer.heard = Some(now);
        peer.is_leaving = datagram.is_leaving;
        !std::mem::replace(&mut peer.is_live, true)
    };
    if is_news {
        gateway.journal.record(EventKind::PeerLive {
            peer: datagram.vm.clone(),
        });
        share_size(gateway, now);
    }
    if datagram.is_hello || is_news {
        peers.changed.notify_one();
    }
    take_loads(gateway, index as u16, datagram);
    gateway.take_marks(&datagram.crashes);
    if let Some(news) = &datagram.list {
        take_list_news(gateway, news);
    }
    if datagram.version > gateway.get_version().max(peers.newest.get()) {
        peers.newest.set(datagram.version);
        peers.newer.notify_one();
    }
}

fn take_loads(gateway: &Gateway, peer: u16, datagram: &PeerDatagram) {
    gateway.for_each_service(|service| {
        let loads: Vec<(TargetKey, u16)> = service.read(|machine, _| {
            machine
                .get_target_keys()
                .filter_map(|key| {
                    let target = machine.get_target(key)?;
                    let digest = target.get_incarnation().get_digest();
                    let load = datagram.loads.iter().find(|load| load.target == digest)?;
                    Some((key, load.in_flight))
                })
                .collect()
        });
        service.take_peer_loads(peer, &loads);
    });
}

fn judge_silence(gateway: &Gateway, now: Instant) {
    let mut silent = Vec::new();
    for (index, peer) in gateway.peers.peers.borrow_mut().iter_mut().enumerate() {
        let Some(heard) = peer.heard else {
            continue;
        };
        let silence = now.saturating_duration_since(heard);
        if peer.is_live && silence > SILENT {
            peer.is_live = false;
            silent.push((index as u16, peer.vm.clone()));
        }
        if silence > FORGET {
            peer.vm = VmName::default();
            peer.heard = None;
        }
    }
    for (index, vm) in &silent {
        gateway.for_each_service(|service| service.forget_peer(*index));
        gateway
            .journal
            .record(EventKind::PeerSilent { peer: vm.clone() });
    }
    if !silent.is_empty() {
        share_size(gateway, now);
    }
}

fn share_size(gateway: &Gateway, now: Instant) {
    let vms = gateway.peers.count_vms(now);
    gateway.for_each_service(|service| service.set_fleet(vms, 0));
}
