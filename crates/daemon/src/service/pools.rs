//! Connection pools for the targets of one service.

use super::TargetClient;
use parking_lot::RwLock;
use std::net::SocketAddr;
use std::sync::Arc;

/// The connection pool of one target.
#[derive(Debug)]
pub(crate) struct TargetPool {
    pub(crate) addr: SocketAddr,
    pub(crate) client: TargetClient,
}

/// The connection pools of all targets of a service, by position of the target.
///
/// Each target has a pool of its own, so that the existing connections to a
/// target can be discarded together when one of them becomes silent.
#[derive(Debug)]
pub(crate) struct TargetPools {
    pools: RwLock<Vec<Option<Arc<TargetPool>>>>,
}

impl TargetPools {
    pub(crate) fn new() -> Self {
        Self {
            pools: RwLock::new(Vec::new()),
        }
    }

    /// Returns the pool of a target, and opens a new one for a new address.
    pub(crate) fn get(&self, index: usize, addr: SocketAddr, max: u16) -> Arc<TargetPool> {
        let current = self.pools.read().get(index).cloned().flatten();
        match current {
            Some(pool) if pool.addr == addr => pool,
            _ => self.open(index, addr, max),
        }
    }

    /// Discards the pool of a target if it is still `pool`; the next
    /// [`get`](Self::get) opens a new one.
    ///
    /// Returns true if this call discarded it.
    pub(crate) fn discard(&self, index: usize, pool: &Arc<TargetPool>) -> bool {
        let mut pools = self.pools.write();
        let Some(slot) = pools.get_mut(index) else {
            return false;
        };
        let is_current = slot
            .as_ref()
            .is_some_and(|current| Arc::ptr_eq(current, pool));
        if is_current {
            *slot = None;
        }
        is_current
    }

    fn open(&self, index: usize, addr: SocketAddr, max: u16) -> Arc<TargetPool> {
        let pool = Arc::new(TargetPool {
            addr,
            client: TargetClient::new(max),
        });
        let mut pools = self.pools.write();
        if pools.len() <= index {
            pools.resize(index + 1, None);
        }
        pools[index] = Some(pool.clone());
        pool
    }
}

/// Builds the client for once-only requests, each of which gets a connection of its own.
///
/// A target may write an earlier refusal once more on a kept connection. Its answers bear
/// nothing that names their request, so that the refusal would be taken for one of the next
/// request, which would be sent to another target as well.
pub(crate) fn build_once_client() -> TargetClient {
    TargetClient::new(0)
}
