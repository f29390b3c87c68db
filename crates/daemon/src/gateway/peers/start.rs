//! How a VM gets its first configuration and target list.

use super::follow::fetch_from;
use super::register::{find_registered, register_start};
use crate::gateway::state::Gateway;
use crate::telemetry::STATE_LOG_TARGET;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time in which all VMs of a fleet that starts have registered.
const FLEET_START: Duration = Duration::from_millis(350);
/// Spread of the first reads of the rows in a fleet that starts.
const START_JITTER: Duration = Duration::from_millis(150);
/// Time in which a seed that has the state answers.
const SEED_HEAD_START: Duration = Duration::from_millis(20);
/// Longest random pause before registered VMs are looked for.
const JOIN_PAUSE: Duration = Duration::from_millis(30);
/// Longest wait for the registration before the rows are read all the same.
const MAX_REGISTRATION: Duration = Duration::from_millis(300);
/// Time between the turns in which VMs of a starting fleet read the store.
const TURN: Duration = Duration::from_millis(150);
/// VMs that have a turn of their own.
const SINGLE_TURNS: usize = 2;

/// Gets the state from peers, or returns when this VM has to read the store.
///
/// A VM that starts alone gets the state from a seed of the settings. After the loss of
/// all VMs no seed has it, so that the seeds have only a short head start. If the whole
/// fleet starts for the first time, few VMs read the store.
///
/// Registration takes one call to the store, two if a row of an earlier start exists.
pub(crate) async fn load_state(gateway: &Rc<Gateway>) {
    tokio::task::spawn_local(register_start(gateway.clone()));
    if gateway.get_settings().is_bootstrap {
        let jitter = START_JITTER.mul_f64(rand::rng().random());
        tokio::time::sleep(FLEET_START + jitter).await;
        discover_vms(gateway).await;
        wait_for_turn(gateway).await;
        return;
    }
    // The requests to the seeds continue while the store is read.
    let asked = tokio::task::spawn_local(fetch_from_seeds(gateway.clone()));
    let reply = tokio::time::timeout(SEED_HEAD_START, asked).await;
    if !matches!(reply, Ok(Ok(true))) {
        tokio::task::spawn_local(join_fleet(gateway.clone()));
    }
}

/// Requests the state from the seeds of the settings; returns true if one of them had it.
pub(crate) async fn fetch_from_seeds(gateway: Rc<Gateway>) -> bool {
    let seeds = gateway.get_settings().seeds.clone();
    fetch_from_any(&gateway, seeds).await
}

/// Discovers the registered VMs. Shares of common budgets depend on the size of the fleet, so
/// that a VM that has not discovered it uses only a small share.
async fn join_fleet(gateway: Rc<Gateway>) {
    let jitter = JOIN_PAUSE.mul_f64(rand::rng().random());
    tokio::time::sleep(jitter).await;
    // Only rows that are read after the registration name all VMs that may hold parts of limits.
    let registered = gateway.peers.wait_registered();
    let _ = tokio::time::timeout(MAX_REGISTRATION, registered).await;
    discover_vms(&gateway).await;
}

async fn discover_vms(gateway: &Gateway) {
    if let Err(error) = find_registered(gateway).await {
        log::info!(target: STATE_LOG_TARGET, "cannot discover registered VMs: {error}");
    }
}

/// Requests the state of several peers at the same time; returns true once one has replied
/// with a state.
async fn fetch_from_any(gateway: &Rc<Gateway>, addrs: Vec<SocketAddr>) -> bool {
    let me = gateway.get_settings().peers;
    let mut replies: FuturesUnordered<_> = addrs
        .into_iter()
        .filter(|addr| *addr != me)
        .map(|addr| async move { (addr, fetch_from(gateway, addr, true).await) })
        .collect();
    while let Some((addr, is_progress)) = replies.next().await {
        if is_progress && gateway.is_loaded() {
            log::info!(
                target: STATE_LOG_TARGET,
                peer = addr.to_string().as_str(),
                version = gateway.get_version();
                "state received from a peer"
            );
            gateway.peers.request_round();
            return true;
        }
    }
    false
}

/// Waits until this VM has the state from a peer or is to read the store, when the
/// whole fleet starts and nobody has the state.
async fn wait_for_turn(gateway: &Gateway) {
    let rank = gateway.peers.get_turn(gateway.clock.now(), 0).rank;
    let wait = match rank {
        0 => return,
        rank if rank <= SINGLE_TURNS => TURN * rank as u32,
        _ => TURN * (SINGLE_TURNS as u32 + 1) + (TURN * 2).mul_f64(rand::rng().random()),
    };
    let end = gateway.clock.now() + wait;
    while !gateway.is_loaded() && gateway.clock.now() < end {
        let loaded = tokio::time::timeout_at(end.into(), gateway.wait_loaded_once());
        if loaded.await.is_err() {
            return;
        }
    }
}
