//! Slots and queue of a target.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Slots with a bounded queue.
#[derive(Debug)]
pub(super) struct SlotQueue {
    slots: Arc<Semaphore>,
    in_flight: AtomicUsize,
    max_in_flight: usize,
    pub(super) sheds: AtomicU64,
}

/// Counts an admitted request as in flight until it is dropped.
pub(super) struct AdmittedRequest<'a> {
    queue: &'a SlotQueue,
}

impl Drop for AdmittedRequest<'_> {
    fn drop(&mut self) {
        self.queue.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl SlotQueue {
    pub(super) fn new(slots: u16, max_queued: usize) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(usize::from(slots))),
            in_flight: AtomicUsize::new(0),
            max_in_flight: usize::from(slots) + max_queued,
            sheds: AtomicU64::new(0),
        }
    }

    /// Admits a request, or counts it as shed and returns `None` if the queue is full.
    pub(super) fn admit(&self) -> Option<AdmittedRequest<'_>> {
        if self.in_flight.fetch_add(1, Ordering::AcqRel) < self.max_in_flight {
            return Some(AdmittedRequest { queue: self });
        }
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
        self.sheds.fetch_add(1, Ordering::Relaxed);
        None
    }

    pub(super) async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        self.slots.clone().acquire_owned().await.ok()
    }

    pub(super) fn get_in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }
}
