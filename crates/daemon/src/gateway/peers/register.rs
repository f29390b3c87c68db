//! Rows by which VMs find each other.

use super::exchange::REPEAT;
use crate::gateway::state::Gateway;
use gentianridge_adapter::{StoreError, Table};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest pause between two tries to register.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Row of a VM in the store.
#[derive(Debug, Serialize, Deserialize)]
struct VmRow {
    addr: SocketAddr,
    incarnation: u64,
}

/// Registers this VM and reads who else is there, until it has worked once.
pub(crate) async fn register(gateway: Rc<Gateway>) {
    let mut pause = REPEAT;
    loop {
        match try_register(&gateway).await {
            Ok(()) => return,
            Err(error) => log::debug!("cannot register with the store: {error}"),
        }
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

async fn try_register(gateway: &Gateway) -> Result<(), StoreError> {
    let store = gateway.get_store();
    let row = VmRow {
        addr: gateway.get_settings().peers,
        incarnation: gateway.peers.incarnation.get(),
    };
    match serde_json::to_vec(&row) {
        Ok(value) => store.put(Table::Vms, &gateway.peers.me, &value).await?,
        Err(error) => log::error!("the row of this VM cannot be written: {error}"),
    }
    let listed = store.get_all(Table::Vms).await?;
    for row in listed.rows {
        let Some(value) = row.value.filter(|_| row.key != gateway.peers.me) else {
            continue;
        };
        match serde_json::from_slice::<VmRow>(&value) {
            Ok(known) => {
                gateway.peers.add(&row.key, known.addr);
            }
            Err(error) => log::warn!("row of VM {} cannot be read: {error}", row.key),
        }
    }
    gateway.peers.changed.notify_one();
    Ok(())
}
