//! The slots of a stand-in.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Slots with a bounded queue in front.
#[derive(Debug)]
pub(super) struct Gate {
    slots: Arc<Semaphore>,
    held: AtomicUsize,
    limit: usize,
    pub(super) sheds: AtomicU64,
}

/// A request that the target holds.
pub(super) struct Held<'a> {
    gate: &'a Gate,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.gate.held.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Gate {
    pub(super) fn new(slots: u16, queue: usize) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(usize::from(slots))),
            held: AtomicUsize::new(0),
            limit: usize::from(slots) + queue,
            sheds: AtomicU64::new(0),
        }
    }

    /// Takes a request in, or sheds it if the queue is full.
    pub(super) fn enter(&self) -> Option<Held<'_>> {
        if self.held.fetch_add(1, Ordering::AcqRel) < self.limit {
            return Some(Held { gate: self });
        }
        self.held.fetch_sub(1, Ordering::AcqRel);
        self.sheds.fetch_add(1, Ordering::Relaxed);
        None
    }

    pub(super) async fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        self.slots.clone().acquire_owned().await.ok()
    }

    pub(super) fn get_held(&self) -> usize {
        self.held.load(Ordering::Acquire)
    }
}
