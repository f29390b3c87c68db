//! The events of this VM.

use super::STATE_LOG_TARGET;
use gentianridge_api::TimelineAnswer;
use gentianridge_core::{Clock, Event, EventKind, EventRing, HybridClock, HybridTime, VmName};
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Events kept on one VM.
const RING_CAPACITY: usize = 8192;

/// Records changes of state on the timeline and in the log.
#[derive(Debug)]
pub(crate) struct Journal {
    vm: VmName,
    clock: Arc<dyn Clock>,
    state: Mutex<JournalState>,
    recorded: AtomicU64,
}

#[derive(Debug)]
struct JournalState {
    hybrid: HybridClock,
    ring: EventRing,
}

impl Journal {
    pub(crate) fn new(vm: VmName, clock: Arc<dyn Clock>) -> Self {
        Self {
            vm,
            clock,
            state: Mutex::new(JournalState {
                hybrid: HybridClock::new(),
                ring: EventRing::new(RING_CAPACITY),
            }),
            recorded: AtomicU64::new(0),
        }
    }

    /// Records a change of state.
    pub(crate) fn record(&self, kind: EventKind) {
        log::info!(target: STATE_LOG_TARGET, "{kind}");
        self.recorded.fetch_add(1, Ordering::Relaxed);
        let wall = self.clock.wall();
        let mut state = self.state.lock();
        let at = state.hybrid.tick(wall);
        state.ring.push(Event {
            at,
            vm: self.vm.clone(),
            kind,
        });
    }

    /// Returns a timestamp for a message to a peer.
    pub(crate) fn tick(&self) -> HybridTime {
        let wall = self.clock.wall();
        self.state.lock().hybrid.tick(wall)
    }

    /// Merges the timestamp of a peer's message into the clock.
    ///
    /// Returns false if the timestamp leads the wall clock by more than
    /// [`HybridClock::MAX_LEAD_MILLIS`].
    pub(crate) fn observe(&self, seen: HybridTime) -> bool {
        let wall = self.clock.wall();
        self.state.lock().hybrid.observe(wall, seen)
    }

    pub(crate) fn count_recorded(&self) -> u64 {
        self.recorded.load(Ordering::Relaxed)
    }

    /// Returns the events later than `since_ms` in wall time.
    pub(crate) fn read(&self, since_ms: u64) -> TimelineAnswer {
        let since = HybridTime {
            millis: since_ms,
            logical: 0,
        };
        let state = self.state.lock();
        TimelineAnswer {
            vm: self.vm.clone(),
            dropped: state.ring.get_dropped(),
            events: state.ring.since(since).cloned().collect(),
        }
    }
}
