//! Faults that a test injects into a target.

use parking_lot::Mutex;
use std::net::SocketAddr;
use std::time::Duration;

/// Fault switches of a target.
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
    pub(super) reported_in_flight: Option<u16>,
    pub(super) crash_text: Option<String>,
    pub(super) is_crashed: bool,
    pub(super) truncates_answers: bool,
    pub(super) delay: Duration,
    pub(super) silent_callers: Vec<SocketAddr>,
}

impl TargetFaults {
    /// Multiplies the service time of every request; 0 and 1 clear the fault.
    pub fn set_slow_factor(&self, factor: u32) {
        self.state.lock().slow_factor = factor;
    }

    /// Fails every request immediately with status 500.
    pub fn set_fail_fast(&self, on: bool) {
        self.state.lock().fails_fast = on;
    }

    /// Announces in load reports that the target is leaving.
    pub fn set_leaving(&self, on: bool) {
        self.state.lock().is_leaving = on;
    }

    /// Accepts requests without answering them.
    pub fn set_silent(&self, on: bool) {
        self.state.lock().is_silent = on;
    }

    /// Overrides the number of requests in flight in load reports.
    pub fn set_reported_in_flight(&self, in_flight: Option<u16>) {
        self.state.lock().reported_in_flight = in_flight;
    }

    /// Crashes the target on requests whose path or query contains `text`.
    pub fn crash_on(&self, text: Option<&str>) {
        self.state.lock().crash_text = text.map(ToOwned::to_owned);
    }

    /// Truncates answer bodies halfway and closes the connection.
    pub fn set_truncate_answers(&self, on: bool) {
        self.state.lock().truncates_answers = on;
    }

    /// Delays every answer after its service time; the slot stays taken.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().delay = delay;
    }

    /// Returns true if the target has crashed or was killed.
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
