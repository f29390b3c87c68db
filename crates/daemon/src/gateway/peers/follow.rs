//! Fetches from peers what this VM lacks.

use super::gossip::update_fleet_size;
use super::state_exchange::fetch_state;
use crate::gateway::feeds::{ConfigOutcome, apply_config, apply_list_update};
use crate::gateway::state::Gateway;
use gentianridge_core::{PeerView, UpdateOutcome, VmName};
use gentianridge_wire::{StateReply, StateRequest};
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest random pause before a request, so that one holder is not asked by all VMs
/// at the same moment.
const MAX_JITTER: Duration = Duration::from_millis(15);
/// Time in which a peer with a newer configuration in force is expected, after some
/// peer reported that the configuration exists.
const HOLDER_WAIT: Duration = Duration::from_millis(400);
/// Number of requests to peers before the store is read.
const MAX_PEERS: usize = 3;
/// Shortest and longest pause after neither peers nor the store had the state.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(300);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Fetches missing changes of the list and newer configurations from peers, until the
/// task is dropped. If no peer has them, the store is read.
pub(crate) async fn follow_peers(gateway: Rc<Gateway>) {
    let mut retry_pause = MIN_RETRY_PAUSE;
    loop {
        while !is_lacking(&gateway) {
            retry_pause = MIN_RETRY_PAUSE;
            gateway.peers.wait_lacking().await;
        }
        let jitter = MAX_JITTER.mul_f64(rand::rng().random());
        tokio::time::sleep(jitter).await;
        if !is_lacking(&gateway) {
            continue;
        }
        if is_without_holder(&gateway) {
            wait_for_holder(&gateway).await;
        }
        for addr in choose_peers(&gateway) {
            if !is_lacking(&gateway) {
                break;
            }
            fetch_from(&gateway, addr, false).await;
        }
        if is_lacking(&gateway) {
            gateway.peers.request_store_read();
            let announced = gateway.peers.wait_lacking();
            let _ = tokio::time::timeout(retry_pause, announced).await;
            retry_pause = (retry_pause * 2).min(MAX_RETRY_PAUSE);
        }
    }
}

/// Waits for a peer that has the newest configuration in force: each VM announces that
/// at once when it puts one in force.
async fn wait_for_holder(gateway: &Gateway) {
    let end = tokio::time::Instant::now() + HOLDER_WAIT;
    while is_lacking(gateway) && is_without_holder(gateway) {
        let announced = tokio::time::timeout_at(end, gateway.peers.wait_lacking());
        if announced.await.is_err() {
            return;
        }
    }
}

/// Returns true if a newer state than that of this VM was announced.
pub(crate) fn is_lacking(gateway: &Gateway) -> bool {
    gateway.list.borrow().has_gap() || is_behind(gateway)
}

/// Returns true if a peer has reported a newer configuration than the one in force.
pub(crate) fn is_behind(gateway: &Gateway) -> bool {
    gateway.peers.get_newest_version() > gateway.get_version()
}

/// Returns true if only a newer configuration is missing and no peer is known that has
/// it in force.
fn is_without_holder(gateway: &Gateway) -> bool {
    !gateway.list.borrow().has_gap() && gateway.peers.get_config_holder().is_none()
}

/// Returns the peers that announced what this VM lacks, then others.
pub(super) fn choose_peers(gateway: &Gateway) -> Vec<SocketAddr> {
    let now = gateway.clock.now();
    let domain = gateway.get_settings().domain.clone();
    let newest = gateway.peers.get_newest_version();
    let holders = [
        gateway.peers.get_list_holder(),
        gateway.peers.get_config_holder(),
    ];
    let mut peers: Vec<SocketAddr> = holders.into_iter().flatten().collect();
    let others = gateway
        .peers
        .gossip
        .borrow_mut()
        .choose_holders(now, &domain, newest, MAX_PEERS);
    peers.extend(others);
    let mut chosen = Vec::new();
    for addr in peers {
        if !chosen.contains(&addr) {
            chosen.push(addr);
        }
    }
    chosen.truncate(MAX_PEERS);
    chosen
}

/// Requests the state of one peer and applies the reply; returns true if it was newer.
pub(super) async fn fetch_from(gateway: &Rc<Gateway>, addr: SocketAddr, needs_peers: bool) -> bool {
    let request = {
        let list = gateway.list.borrow();
        StateRequest {
            vm: gateway.get_settings().vm.clone(),
            revision: gateway.get_version(),
            list_version: list.get_version(),
            needs_full_list: list.needs_full_read(),
            needs_peers,
        }
    };
    let sent = gateway.clock.since_boot();
    let reply = fetch_state(addr, &request).await;
    gateway.metrics.record_state_request(reply.is_ok());
    match reply {
        Ok(reply) => apply_reply(gateway, addr, sent, reply),
        Err(error) => {
            log::debug!("cannot get the state of {addr}: {error:#}");
            false
        }
    }
}

/// Records the VMs that a peer has named. Those that do not answer it count as well: they may
/// have been stopped together with this one.
fn record_fleet(
    gateway: &Rc<Gateway>,
    now: Instant,
    live: Vec<PeerView>,
    absent: &[(VmName, SocketAddr)],
    vms: u32,
) {
    let mut gossip = gateway.peers.gossip.borrow_mut();
    for view in live {
        gossip.record_heartbeat(now, view);
    }
    for (vm, addr) in absent {
        gossip.add_absent(now, vm.clone(), *addr);
    }
    gossip.record_size(now, vms);
    drop(gossip);
    update_fleet_size(gateway, now);
    gateway.list_limit_members();
}

fn apply_reply(gateway: &Rc<Gateway>, addr: SocketAddr, sent: Duration, reply: StateReply) -> bool {
    let now = gateway.clock.now();
    if !reply.peers.is_empty() {
        record_fleet(gateway, now, reply.peers, &reply.absent, reply.vms);
    }
    gateway.adopt_era(reply.era);
    gateway.record_peer_proof(sent, reply.store_time, reply.proof);
    if let Some(evacuations) = reply.evacuations {
        gateway.apply_evacuations(evacuations, "peer");
    }
    let mut is_progress = false;
    if let Some(config) = reply.config {
        let outcome = apply_config(gateway, &config.value, "peer");
        is_progress |= outcome == ConfigOutcome::InForce;
    }
    if let Some(update) = reply.list {
        let outcome = apply_list_update(gateway, update, addr);
        is_progress |= matches!(outcome, UpdateOutcome::Applied | UpdateOutcome::Unchanged);
    }
    is_progress
}
