//! Looks for a recent proof of the configuration when none arrives.

use super::follow::{choose_peers, fetch_from};
use crate::gateway::state::Gateway;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;

/// Longest random pause before the first request, so that VMs that lost touch at the same
/// moment do not ask together.
const MAX_JITTER: Duration = Duration::from_millis(100);
/// Peers that are asked before the store is read.
const MAX_PEERS: usize = 2;
/// Shortest and longest pause after neither peers nor the store had a proof. The longest
/// leaves two tries within the usual bound of some seconds.
const MIN_PAUSE: Duration = Duration::from_millis(300);
const MAX_PAUSE: Duration = Duration::from_millis(1_200);

/// Asks peers for their proofs and then reads the store, whenever the proof of this VM gets
/// old, until the task is dropped. Usually the datagrams of peers bring one before.
pub(crate) async fn keep_proven(gateway: Rc<Gateway>) {
    let mut pause = MIN_PAUSE;
    loop {
        gateway.peers.wait_proof_request().await;
        tokio::time::sleep(MAX_JITTER.mul_f64(rand::rng().random())).await;
        for addr in choose_peers(&gateway).into_iter().take(MAX_PEERS) {
            if !gateway.is_proof_due() {
                break;
            }
            fetch_from(&gateway, addr, false).await;
        }
        if !gateway.is_proof_due() {
            pause = MIN_PAUSE;
            continue;
        }
        gateway.peers.request_store_read();
        tokio::time::sleep(pause.mul_f64(rand::rng().random_range(0.5..1.5))).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}
