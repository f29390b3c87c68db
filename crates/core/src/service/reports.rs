//! Load reports and ejection of targets.

use super::ejection::EjectCause;
use super::{AttemptKey, LoadReport, Output, Service, TargetKey};
use crate::EventKind;
use std::time::Instant;

/// Inputs about targets.
impl Service {
    /// Records a load report of a target.
    ///
    /// `attempt` is the one whose answer carried the report, or `None` for a
    /// probe. The report has to be passed before the end of the attempt.
    pub fn report(
        &mut self,
        now: Instant,
        key: TargetKey,
        attempt: Option<AttemptKey>,
        report: LoadReport,
        out: &mut Vec<Output>,
    ) {
        let Some(target) = self.targets.get_mut(key.get_index()) else {
            return;
        };
        if let Some(attempt) = attempt {
            target.check_report(report, attempt);
        }
        target.record_report(now, report);
        if let Some(percent) = report.work_percent {
            self.sampler.record_work_time(percent);
        }
        if target.is_leaving != report.is_leaving {
            self.set_leaving(now, key, report.is_leaving, out);
        }
        if attempt.is_none() && self.count_waiting() > 0 {
            self.dispatch_waiting(now, out);
        }
    }

    /// Records that a target is leaving or has returned.
    pub fn set_leaving(
        &mut self,
        now: Instant,
        key: TargetKey,
        is_leaving: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(target) = self.targets.get_mut(key.get_index()) else {
            return;
        };
        if target.is_leaving == is_leaving {
            return;
        }
        target.is_leaving = is_leaving;
        if !is_leaving {
            target.start_warming(now);
        }
        out.push(Output::Event(EventKind::TargetLeaving {
            service: self.spec.name.clone(),
            target: target.spec.name.clone(),
            is_leaving,
        }));
        self.assign_long_slots();
        self.dispatch_waiting(now, out);
    }

    pub(super) fn handle_failure(&mut self, now: Instant, key: TargetKey, out: &mut Vec<Output>) {
        let cause = self.targets[key.get_index()].health.record_failure(now);
        if let Some(cause) = cause {
            self.eject(now, key, cause, out);
        }
    }

    pub(super) fn eject_if_slow(&mut self, now: Instant, key: TargetKey, out: &mut Vec<Output>) {
        let cause = self.targets[key.get_index()].health.check_lateness();
        if let Some(cause) = cause {
            self.eject(now, key, cause, out);
        }
    }

    pub(super) fn eject(
        &mut self,
        now: Instant,
        key: TargetKey,
        cause: EjectCause,
        out: &mut Vec<Output>,
    ) {
        if !self.is_ejection_allowed() {
            self.counters.ejections_denied += 1;
            return;
        }
        self.counters.ejections += 1;
        let target = &mut self.targets[key.get_index()];
        target.health.eject(now);
        out.push(Output::Event(EventKind::TargetEjected {
            service: self.spec.name.clone(),
            target: target.spec.name.clone(),
            cause: cause.as_str().into(),
        }));
    }

    /// Returns true if at least half of the usable targets stay active after an ejection.
    pub(super) fn is_ejection_allowed(&self) -> bool {
        let usable = self.targets.iter().filter(|t| t.is_usable());
        let (mut total, mut active) = (0, 0);
        for target in usable {
            total += 1;
            active += u32::from(target.health.is_active());
        }
        active > 0 && (active - 1) * 2 >= total
    }
}
