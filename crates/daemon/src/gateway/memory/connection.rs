//! The memory of one caller's connection.

use super::keeper::MemoryKeeper;
use super::reservation::{FlowPermit, Reservation};
use gentianridge_core::{HolderKey, HolderPhase, ResultCode};
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// The account of a connection; it is closed when this is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionMemory {
    keeper: Rc<MemoryKeeper>,
    key: HolderKey,
    evicted: CancellationToken,
}

impl ConnectionMemory {
    pub(super) fn new(
        keeper: Rc<MemoryKeeper>,
        key: HolderKey,
        evicted: CancellationToken,
    ) -> Self {
        Self {
            keeper,
            key,
            evicted,
        }
    }

    /// Returns the token that is cancelled when the connection has to give way.
    pub(crate) fn get_evicted(&self) -> &CancellationToken {
        &self.evicted
    }

    /// Returns the largest body in bytes that is held whole.
    pub(crate) fn get_max_held_body(&self) -> usize {
        self.keeper.get_budget().max_held_body
    }

    pub(crate) fn enter(&self, phase: HolderPhase) {
        self.keeper.enter(self.key, phase);
    }

    pub(crate) fn record_progress(&self, bytes: u64) {
        self.keeper.record_progress(self.key, bytes);
    }

    /// Returns a guard of no memory, to be extended.
    pub(crate) fn reserve_nothing(&self) -> Reservation {
        Reservation::new(self.keeper.clone(), self.key, 0)
    }

    /// Reserves memory, for which other connections may be closed.
    ///
    /// # Errors
    ///
    /// Fails with [`ResultCode::MemoryFull`] if there is no room.
    pub(crate) async fn reserve(&self, bytes: usize) -> Result<Reservation, ResultCode> {
        self.keeper.reserve(self.key, bytes).await
    }

    /// Reserves memory without a wait.
    pub(crate) fn reserve_now(&self, bytes: usize) -> Option<Reservation> {
        self.keeper.reserve_now(self.key, bytes)
    }

    /// Asks for a permit to forward a body as it arrives.
    pub(crate) fn start_flow(&self) -> Option<FlowPermit> {
        self.keeper.start_flow()
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        self.keeper.close(self.key);
    }
}
