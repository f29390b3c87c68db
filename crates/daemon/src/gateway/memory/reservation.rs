//! Guards of memory and of flows.

use super::keeper::MemoryKeeper;
use gentianridge_core::HolderKey;
use std::rc::Rc;

/// Memory granted to a caller's connection; it is given back when this is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    keeper: Rc<MemoryKeeper>,
    key: HolderKey,
    bytes: usize,
}

impl Reservation {
    /// Creates a guard of `bytes` that were granted.
    pub(super) fn new(keeper: Rc<MemoryKeeper>, key: HolderKey, bytes: usize) -> Self {
        Self { keeper, key, bytes }
    }

    /// Adds the memory of another guard of the same connection.
    pub(crate) fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Asks for more memory that the request can do without.
    pub(crate) fn try_grow(&mut self, bytes: usize) -> bool {
        let is_granted = self.keeper.try_reserve(self.key, bytes);
        self.bytes += if is_granted { bytes } else { 0 };
        is_granted
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.keeper.release(self.key, self.bytes);
        }
    }
}

/// Permit to forward a body as it arrives; it is given back when this is dropped.
#[derive(Debug)]
pub(crate) struct FlowPermit {
    keeper: Rc<MemoryKeeper>,
}

impl FlowPermit {
    /// Creates the guard of a flow that was allowed.
    pub(super) fn new(keeper: Rc<MemoryKeeper>) -> Self {
        Self { keeper }
    }
}

impl Drop for FlowPermit {
    fn drop(&mut self) {
        self.keeper.end_flow();
    }
}
