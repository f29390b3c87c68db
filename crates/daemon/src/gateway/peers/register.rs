//! Registration rows in the store, by which VMs find each other.

use super::gossip::{ROUND_INTERVAL, update_fleet_size};
use crate::gateway::state::Gateway;
use gentianridge_adapter::{StoreError, StoreErrorKind, Table};
use gentianridge_core::{FleetLimits, PeerView, VmName};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest pause between two attempts to register.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Pause between two polls of the rows by any VM of the fleet.
const FLEET_POLL_PAUSE: Duration = Duration::from_secs(5);
/// Time after a start in which a VM discovers the size of the fleet.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Missing rows of other VMs that one poll writes at most.
const MAX_REPAIRS: usize = 4;

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
/// while its VM could not be reached. One poll serves the fleet, since it also
/// writes missing rows of other VMs; each VM polls the less often the more there are.
pub(crate) async fn keep_registered(gateway: Rc<Gateway>) {
    tokio::time::sleep(SETTLE_TIME).await;
    loop {
        let now = gateway.clock.now();
        let vms = gateway.peers.get_fleet_size(now).map_or(1, u32::from);
        let pause = (FLEET_POLL_PAUSE * vms).mul_f64(rand::rng().random_range(0.5..1.5));
        tokio::time::sleep(pause).await;
        retry_until_ok(async || poll_rows(&gateway).await).await;
    }
}

/// Reads the rows while this VM does not know which VMs may hold parts of limits, until the
/// task is dropped. Usually a peer names them before.
pub(crate) async fn keep_listed(gateway: Rc<Gateway>) {
    let mut pause = ROUND_INTERVAL;
    loop {
        gateway.peers.wait_rows_request().await;
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
        if !gateway.limits.read(FleetLimits::needs_list) {
            pause = ROUND_INTERVAL;
            continue;
        }
        pause = (pause * 2).min(MAX_PAUSE);
        if let Err(error) = find_registered(&gateway).await {
            log::debug!("cannot read which VMs are registered: {error}");
        }
    }
}

/// Registers a VM that has just started.
///
/// The incarnation is the wall-clock time of the start. If the clock was set back
/// before a restart, peers would discard the messages of this start as outdated, so
/// that a row of an earlier start raises it.
pub(super) async fn register_start(gateway: Rc<Gateway>) {
    retry_until_ok(async || put_first_row(&gateway).await).await;
}

async fn put_first_row(gateway: &Gateway) -> Result<(), StoreError> {
    let Some((me, value)) = make_row(&gateway.make_own_view()) else {
        return Ok(());
    };
    let found = gateway.get_store().put_new(Table::Vms, &me, &value).await?;
    let Some(found) = found else {
        gateway.peers.set_registered(false);
        return Ok(());
    };
    if found == value {
        // An earlier call of this process has written the row, or the same start of a VM.
        gateway.peers.set_registered(false);
        return Ok(());
    }
    match serde_json::from_slice::<VmRow>(&found) {
        Ok(last) => gateway
            .peers
            .raise_incarnation(last.incarnation.saturating_add(1)),
        Err(error) => log::warn!("row of this VM cannot be read: {error}"),
    }
    put_row(gateway).await?;
    gateway.peers.set_registered(true);
    Ok(())
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

/// Returns the name and the row of a VM.
fn make_row(view: &PeerView) -> Option<(VmName, Vec<u8>)> {
    let row = VmRow {
        addr: view.addr,
        incarnation: view.incarnation,
    };
    match serde_json::to_vec(&row) {
        Ok(value) => Some((view.vm.clone(), value)),
        Err(error) => {
            log::error!("the row of VM {} cannot be encoded: {error}", view.vm);
            None
        }
    }
}

async fn put_row(gateway: &Gateway) -> Result<(), StoreError> {
    match make_row(&gateway.make_own_view()) {
        Some((me, value)) => gateway.get_store().put(Table::Vms, &me, &value).await,
        None => Ok(()),
    }
}

/// Reads which VMs are registered, and returns their names in ascending order.
pub(super) async fn find_registered(gateway: &Gateway) -> Result<Vec<VmName>, StoreError> {
    // Of two VMs that register at the same time, at least one finds the other.
    let is_registered = gateway.peers.is_registered();
    let listed = gateway.get_store().get_all(Table::Vms).await?;
    let listed = gateway.check_era(listed)?;
    let now = gateway.clock.now();
    let me = gateway.get_settings().vm.clone();
    let mut names = Vec::with_capacity(listed.rows.len());
    for row in listed.rows {
        names.push(row.key.clone());
        let Some(value) = row.value.filter(|_| row.key != me) else {
            continue;
        };
        match serde_json::from_slice::<VmRow>(&value) {
            Ok(vm_row) => {
                let mut gossip = gateway.peers.gossip.borrow_mut();
                gossip.add_registered(now, row.key, vm_row.addr);
            }
            Err(error) => log::warn!("row of VM {} cannot be read: {error}", row.key),
        }
    }
    update_fleet_size(gateway, now);
    if is_registered {
        gateway.set_fleet_listed();
    }
    let turn = gateway.peers.get_turn(now, gateway.get_version());
    gateway.list.borrow_mut().set_turn(turn);
    gateway.peers.request_round();
    names.sort_unstable();
    Ok(names)
}

/// Reads which VMs are registered, and writes the missing rows of live ones.
async fn poll_rows(gateway: &Gateway) -> Result<(), StoreError> {
    let registered = find_registered(gateway).await?;
    if gateway.is_stopping() {
        return Ok(());
    }
    let mut live = gateway
        .peers
        .gossip
        .borrow()
        .get_live_views(gateway.clock.now());
    live.push(gateway.make_own_view());
    let is_missing = |view: &PeerView| registered.binary_search(&view.vm).is_err();
    let missing = live.into_iter().filter(is_missing);
    for view in missing.take(MAX_REPAIRS) {
        log::info!("row of VM {} missing from the store", view.vm);
        let Some((vm, row)) = make_row(&view) else {
            continue;
        };
        gateway.get_store().put_new(Table::Vms, &vm, &row).await?;
    }
    Ok(())
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
