//! Admission of calls while the VM stops.

use super::class::Class;
use super::{CallKey, Output, Service};
use crate::StopSchedule;
use std::time::Instant;

/// Planned stop of the VM.
impl Service {
    /// Starts a planned stop: every call ends by [`StopSchedule::answer_until`].
    ///
    /// A call that cannot be completed by then is refused as soon as this is known,
    /// so that its caller can use another VM. docs/decisions/0020-planned-stop.md
    /// has the cases.
    pub fn stop(&mut self, now: Instant, schedule: StopSchedule, out: &mut Vec<Output>) {
        self.stop = Some(schedule);
        let keys: Vec<CallKey> = self.calls.keys().collect();
        for key in keys {
            self.limit_call_to_stop(now, key);
        }
        self.dispatch_waiting(now, out);
    }

    /// Limits a call to the end of the stop, and moves it in the queue if it waits.
    fn limit_call_to_stop(&mut self, now: Instant, key: CallKey) {
        let is_waiting = self.remove_from_queue(key);
        let call = &self.calls[key];
        let class = &self.classes[call.class];
        if let Some(limit) = self.get_stop_limit(now, class, call.deadline) {
            let call = &mut self.calls[key];
            call.limit_to_stop(limit);
        }
        if is_waiting {
            self.enqueue(key);
        }
    }

    /// Returns the limits of a call that the stop cuts short, `None` for one whose own
    /// deadline is earlier or while the VM does not stop.
    pub(super) fn get_stop_limit(
        &self,
        now: Instant,
        class: &Class,
        deadline: Instant,
    ) -> Option<StopLimit> {
        let stop = self.stop.filter(|stop| stop.work_until < deadline)?;
        let own = deadline.saturating_duration_since(now);
        // A run that takes longer than the time left is aborted, and its caller does not
        // learn whether it ran.
        let run_time = class.answer_times.get_p99().min(own);
        let starts_until = stop.work_until.checked_sub(run_time).unwrap_or(now);
        Some(StopLimit {
            end: stop.answer_until.min(deadline),
            starts_until,
            useful_until: starts_until + class.get_expected_time(),
        })
    }
}

/// Limits of a call that the stop of the VM cuts short.
#[derive(Debug, Clone, Copy)]
pub(super) struct StopLimit {
    /// Time by which the call ends.
    pub(super) end: Instant,
    /// Time after which no attempt is started.
    pub(super) starts_until: Instant,
    /// Time until which an answer is useful; the call leaves the queue one expected
    /// answer time earlier.
    pub(super) useful_until: Instant,
}
