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
/// Registered VMs that are asked for their state.
const MAX_ASKED: usize = 3;
/// Time between the turns in which VMs of a starting fleet read the store.
const TURN: Duration = Duration::from_millis(150);
/// VMs that have a turn of their own.
const SINGLE_TURNS: usize = 2;

/// Gets the state from peers, first from the seeds of the settings, then from
/// registered VMs. Without a peer that has it, the call returns when this VM has to
/// read the store.
///
/// Registration takes one call to the store, two if a row of an earlier start exists,
/// and looking for registered VMs one more.
pub(crate) async fn load_state(gateway: &Rc<Gateway>) {
    let registration = tokio::task::spawn_local(register_start(gateway.clone()));
    let (is_bootstrap, seeds) = {
        let settings = gateway.get_settings();
        (settings.is_bootstrap, settings.seeds.clone())
    };
    if !is_bootstrap && ask(gateway, seeds, "seed").await {
        return;
    }
    if is_bootstrap {
        let jitter = START_JITTER.mul_f64(rand::rng().random());
        tokio::time::sleep(FLEET_START + jitter).await;
    }
    // If the store does not answer, neither the rows nor a read of this VM are of use.
    if let Err(error) = registration.await {
        log::error!("registration ended without a result: {error}");
    }
    if let Err(error) = find_registered(gateway).await {
        log::info!(target: STATE_LOG_TARGET, "cannot look for registered VMs: {error}");
        return;
    }
    let now = gateway.clock.now();
    let domain = gateway.get_settings().domain.clone();
    let registered = gateway
        .peers
        .gossip
        .borrow_mut()
        .choose_holders(now, &domain, 1, MAX_ASKED);
    if is_bootstrap {
        wait_for_turn(gateway).await;
    } else {
        ask(gateway, registered, "registered VM").await;
    }
}

/// Asks several peers at the same time; returns true once one of them has helped.
async fn ask(gateway: &Rc<Gateway>, addrs: Vec<SocketAddr>, source: &'static str) -> bool {
    let me = gateway.get_settings().peers;
    let mut replies: FuturesUnordered<_> = addrs
        .into_iter()
        .filter(|addr| *addr != me)
        .map(|addr| async move { (addr, fetch_from(gateway, addr, true).await) })
        .collect();
    while let Some((addr, is_of_use)) = replies.next().await {
        if is_of_use && gateway.is_loaded() {
            log::info!(
                target: STATE_LOG_TARGET,
                peer = addr.to_string().as_str(),
                source = source,
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
    let rank = gateway.peers.gossip.borrow().get_start_rank();
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
