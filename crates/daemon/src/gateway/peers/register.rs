//! Registration rows in the store, by which VMs find each other.

use super::gossip::{ROUND_INTERVAL, update_fleet_size};
use crate::gateway::state::{Gateway, Phase};
use gentianridge_adapter::{StoreError, StoreErrorKind, Table};
use gentianridge_core::VmName;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest pause between two attempts to register.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Pause before the second poll of the rows. VMs that registered at the same
/// time, within a few calls to the store, are missing from each other's first
/// poll.
const FIRST_POLL_PAUSE: Duration = Duration::from_millis(500);
/// Pause between later polls. A poll is one call, so that 50 VMs make less than
/// one call a second.
const POLL_PAUSE: Duration = Duration::from_secs(60);

/// Row of a VM in the store.
#[derive(Debug, Serialize, Deserialize)]
struct VmRow {
    addr: SocketAddr,
    /// Number of the VM's start, higher than that of the previous start.
    incarnation: u64,
}

/// Keeps this VM registered and reads which other VMs are, until the task is
/// dropped.
///
/// The rows are polled repeatedly: VMs that were partitioned for long have
/// dropped each other from their local state, and a row may have been removed
/// while its VM could not be reached.
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

/// Retries a call to the store until it succeeds.
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
            log::error!("the row of this VM cannot be encoded: {error}");
            Ok(())
        }
    }
}

/// Reads which VMs are registered, and registers this VM if it has just started
/// or its row is missing.
async fn poll_rows(gateway: &Gateway, is_start: bool) -> Result<(), StoreError> {
    let listed = gateway.get_store().get_all(Table::Vms).await?;
    let now = gateway.clock.now();
    let me = gateway.get_settings().vm.clone();
    let mut own_row = None;
    for row in listed.rows {
        let Some(value) = row.value else {
            continue;
        };
        match serde_json::from_slice::<VmRow>(&value) {
            Ok(vm_row) if row.key == me => own_row = Some(vm_row),
            Ok(vm_row) => {
                let mut gossip = gateway.peers.gossip.borrow_mut();
                gossip.add_registered(now, row.key, vm_row.addr);
            }
            Err(error) => log::warn!("row of VM {} cannot be read: {error}", row.key),
        }
    }
    update_fleet_size(gateway, now);
    gateway.peers.request_round();
    match own_row {
        // The incarnation is the wall-clock time of the start. If the clock was
        // set back before a restart, peers would discard the messages of this
        // start as outdated.
        Some(last) if is_start => gateway.peers.raise_incarnation(last.incarnation + 1),
        Some(_) => return Ok(()),
        None if !is_start => log::info!("row of this VM missing from the store"),
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

/// Removes the rows of VMs that are gone, since the store does not expire rows.
pub(super) async fn remove_rows(gateway: Rc<Gateway>, vms: Vec<VmName>) {
    for vm in vms {
        match remove_row(&gateway, &vm).await {
            Ok(()) => log::info!("row of VM {vm} removed"),
            // The VM registered again, or another VM removed the row first.
            Err(error) if error.get_kind() == StoreErrorKind::Conflict => {}
            Err(error) => log::info!("row of VM {vm} cannot be removed: {error}"),
        }
    }
}

/// Removes the current version of a row: if a VM registers again meanwhile, its
/// row stays.
async fn remove_row(gateway: &Gateway, vm: &VmName) -> Result<(), StoreError> {
    let store = gateway.get_store();
    let found = store.get(Table::Vms, vm).await?;
    match found.rows.first() {
        Some(row) => store.remove(Table::Vms, vm, row.version).await,
        None => Ok(()),
    }
}
