//! Faults of a stand-in.

use parking_lot::Mutex;
use std::net::SocketAddr;
use std::time::Duration;

/// Faults that a test switches on and off.
#[derive(Debug, Default)]
pub struct TargetFaults {
    state: Mutex<FaultState>,
}

#[derive(Debug, Clone, Default)]
pub(super) struct FaultState {
    pub(super) slow_factor: u32,
    pub(super) fails_fast: bool,
    pub(super) is_leaving: bool,
    pub(super) is_silent: bool,
    pub(super) reported: Option<u16>,
    pub(super) crash_word: Option<String>,
    pub(super) is_crashed: bool,
    pub(super) truncates: bool,
    pub(super) delay: Duration,
    pub(super) silent_callers: Vec<SocketAddr>,
}

impl TargetFaults {
    /// Makes every request take `factor` times its drawn time; 0 or 1 heals.
    pub fn set_slow_factor(&self, factor: u32) {
        self.state.lock().slow_factor = factor;
    }

    /// Makes every request fail at once with a server error.
    pub fn set_fail_fast(&self, on: bool) {
        self.state.lock().fails_fast = on;
    }

    /// Announces on answers that the target is going to stop.
    pub fn set_leaving(&self, on: bool) {
        self.state.lock().is_leaving = on;
    }

    /// Takes requests and never answers.
    pub fn set_silent(&self, on: bool) {
        self.state.lock().is_silent = on;
    }

    /// Reports this number in flight, whatever is true.
    pub fn set_reported_in_flight(&self, in_flight: Option<u16>) {
        self.state.lock().reported = in_flight;
    }

    /// Crashes on requests whose target holds the word.
    pub fn crash_on(&self, word: Option<&str>) {
        self.state.lock().crash_word = word.map(ToOwned::to_owned);
    }

    /// Breaks answers off in the middle.
    pub fn set_truncate_answers(&self, on: bool) {
        self.state.lock().truncates = on;
    }

    /// Delays every answer by a time, outside the slot.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().delay = delay;
    }

    /// Returns true if the target has crashed.
    pub fn is_crashed(&self) -> bool {
        self.state.lock().is_crashed
    }

    pub(super) fn silence_callers(&self, callers: &[SocketAddr]) {
        self.state.lock().silent_callers = callers.to_vec();
    }

    pub(super) fn crash(&self) {
        self.state.lock().is_crashed = true;
    }

    pub(super) fn get(&self) -> FaultState {
        self.state.lock().clone()
    }
}
