//! One holder of memory: a caller's connection.

use std::time::{Duration, Instant};

slotmap::new_key_type! {
    /// Key of a caller's connection in the account.
    pub struct HolderKey;
}

/// What a caller's connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderPhase {
    /// It waits for a request.
    Idle,
    /// A head or a body arrives.
    Receiving,
    /// A request that was read waits for its answer, which does not depend on the caller.
    Serving,
    /// An answer is written.
    Answering,
}

impl HolderPhase {
    /// Returns true if the caller has to send or read for the phase to end.
    fn depends_on_caller(self) -> bool {
        matches!(self, Self::Receiving | Self::Answering)
    }
}

/// Memory and progress of one connection.
#[derive(Debug)]
pub(super) struct Holder {
    pub(super) bytes: usize,
    pub(super) phase: HolderPhase,
    pub(super) phase_started: Instant,
    /// True once the connection was chosen to be closed.
    pub(super) is_evicted: bool,
    period_started: Instant,
    /// Bytes moved in the current period and in the one before it.
    moved: [u64; 2],
}

impl Holder {
    /// Period over which progress is measured, and time for which a phase is not judged: a
    /// caller inside the limits may wait that long for a lost packet.
    const PERIOD: Duration = Duration::from_secs(1);
    /// Bytes in two periods below which a caller makes too little progress to keep memory
    /// that others ask for. The slowest links carry a hundred times as much.
    const SLOW_BYTES: u64 = 16 * 1024;

    pub(super) fn new(now: Instant) -> Self {
        Self {
            bytes: 0,
            phase: HolderPhase::Idle,
            phase_started: now,
            is_evicted: false,
            period_started: now,
            moved: [0; 2],
        }
    }

    pub(super) fn enter(&mut self, now: Instant, phase: HolderPhase) {
        if self.phase == phase {
            return;
        }
        self.phase = phase;
        self.phase_started = now;
        self.period_started = now;
        self.moved = [0; 2];
    }

    pub(super) fn record_progress(&mut self, now: Instant, bytes: u64) {
        self.roll(now);
        self.moved[0] += bytes;
    }

    fn roll(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.period_started);
        if elapsed < Self::PERIOD {
            return;
        }
        let is_next = elapsed < Self::PERIOD * 2;
        self.moved = [0, if is_next { self.moved[0] } else { 0 }];
        self.period_started = now;
    }

    /// Returns the bytes moved in the last two periods, `None` if the connection does not
    /// depend on its caller or its phase is too young to be judged.
    pub(super) fn get_slow_progress(&mut self, now: Instant) -> Option<u64> {
        let is_judged = self.phase.depends_on_caller()
            && now.saturating_duration_since(self.phase_started) >= Self::PERIOD;
        if self.is_evicted || !is_judged {
            return None;
        }
        self.roll(now);
        let moved = self.moved.iter().sum();
        (moved < Self::SLOW_BYTES).then_some(moved)
    }
}
