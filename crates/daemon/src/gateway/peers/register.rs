//! Rows by which VMs find each other.

use super::gossip::{ROUND_INTERVAL, update_fleet_size};
use crate::gateway::state::{Gateway, Phase};
use gentianridge_adapter::{StoreError, StoreErrorKind, Table};
use gentianridge_core::VmName;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest pause between two tries to register.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Time until the second look at the rows. VMs that registered in the same
/// moment, within a few calls to the store, did not see each other at the first.
const FIRST_POLL_PAUSE: Duration = Duration::from_millis(500);
/// Time between later looks. A look is one call, so that 50 VMs make less than
/// one a second.
const POLL_PAUSE: Duration = Duration::from_secs(60);

/// Row of a VM in the store.
#[derive(Debug, Serialize, Deserialize)]
struct VmRow {
    addr: SocketAddr,
    /// Number of the VM's start, higher than that of the one before.
    incarnation: u64,
}

/// Keeps this VM registered and learns who else is, until the task is dropped.
///
/// The list is read again now and then: VMs that were cut off from each other
/// for long have forgotten each other, and a row may have been removed while
/// its VM could not be reached.
pub(crate) async fn register(gateway: Rc<Gateway>) {
    let mut pause = FIRST_POLL_PAUSE;
    let mut is_start = true;
    loop {
        retry_until_ok(async || poll_rows(&gateway, is_start).await).await;
        is_start = false;
        tokio::time::sleep(pause.mul_f64(rand::rng().random_range(0.5..1.5))).await;
        pause = POLL_PAUSE;
    }
}

/// Repeats a call to the store until it has worked.
async fn retry_until_ok(call: impl AsyncFn() -> Result<(), StoreError>) {
    let mut pause = ROUND_INTERVAL;
    while let Err(error) = call().await {
        log::debug!("cannot register with the store: {error}");
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

async fn put_row(gateway: &Gateway) -> Result<(), StoreError> {
    let (me, addr) = {
        let settings = gateway.get_settings();
        (settings.vm.clone(), settings.peers)
    };
    let row = VmRow {
        addr,
        incarnation: gateway.peers.get_incarnation(),
    };
    match serde_json::to_vec(&row) {
        Ok(value) => gateway.get_store().put(Table::Vms, &me, &value).await,
        Err(error) => {
            log::error!("the row of this VM cannot be written: {error}");
            Ok(())
        }
    }
}

/// Learns who is registered, and registers this VM if it has just started or
/// its row is gone.
async fn poll_rows(gateway: &Gateway, is_start: bool) -> Result<(), StoreError> {
    let listed = gateway.get_store().get_all(Table::Vms).await?;
    let now = gateway.clock.now();
    let me = gateway.get_settings().vm.clone();
    let mut mine = None;
    for row in listed.rows {
        let Some(value) = row.value else {
            continue;
        };
        match serde_json::from_slice::<VmRow>(&value) {
            Ok(known) if row.key == me => mine = Some(known),
            Ok(known) => {
                let mut gossip = gateway.peers.gossip.borrow_mut();
                gossip.add_listed(now, row.key, known.addr);
            }
            Err(error) => log::warn!("row of VM {} cannot be read: {error}", row.key),
        }
    }
    update_fleet_size(gateway, now);
    gateway.peers.request_round();
    match mine {
        // The number of a start is the time of day. Where that was set back
        // over a restart, peers would take the words of this start for old ones.
        Some(last) if is_start => gateway.peers.raise_incarnation(last.incarnation + 1),
        Some(_) => return Ok(()),
        None if !is_start => log::info!("row of this VM was gone"),
        None => {}
    }
    if gateway.get_phase() == Phase::Stopping {
        return Ok(());
    }
    put_row(gateway).await
}

/// Removes the row of this VM, which is stopping.
pub(crate) async fn unregister(gateway: Rc<Gateway>) {
    let me = gateway.get_settings().vm.clone();
    remove_rows(gateway, vec![me]).await;
}

/// Removes rows of VMs that are gone, since the store keeps what nobody removes.
pub(super) async fn remove_rows(gateway: Rc<Gateway>, vms: Vec<VmName>) {
    for vm in vms {
        match remove_row(&gateway, &vm).await {
            Ok(()) => log::info!("row of VM {vm} removed"),
            // The VM is back, or another one was faster.
            Err(error) if error.get_kind() == StoreErrorKind::Conflict => {}
            Err(error) => log::info!("row of VM {vm} cannot be removed: {error}"),
        }
    }
}

/// Removes a row as it stands now: a VM that registers again meanwhile stays.
async fn remove_row(gateway: &Gateway, vm: &VmName) -> Result<(), StoreError> {
    let store = gateway.get_store();
    let found = store.get(Table::Vms, vm).await?;
    match found.rows.first() {
        Some(row) => store.remove(Table::Vms, vm, row.version).await,
        None => Ok(()),
    }
}
