//! Read access to a service for the process and for operators.

use super::target::Target;
use super::{
    ClassKey, Counters, PlacementInputs, Service, TargetCondition, TargetKey, TargetStatus,
};
use crate::{Incarnation, ServiceSpec};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Read access for the process and for operators.
impl Service {
    /// Returns the declaration without classes and targets.
    pub fn get_spec(&self) -> &ServiceSpec {
        &self.spec
    }

    /// Returns the declaration of a class, `None` if it was removed.
    pub fn get_class(&self, class: ClassKey) -> Option<&crate::ClassSpec> {
        self.classes.get(class).map(|class| &class.spec)
    }

    /// Returns the keys of the declared classes, in the order of the declaration.
    pub fn get_class_keys(&self) -> impl Iterator<Item = ClassKey> + '_ {
        self.classes.iter_declared().map(|(key, _)| key)
    }

    /// Returns the key of the declared class with the name.
    pub fn find_class_by_name(&self, name: &str) -> Option<ClassKey> {
        self.classes
            .iter_declared()
            .find(|(_, class)| class.spec.name == name)
            .map(|(key, _)| key)
    }

    /// Returns the time until capacity for another request is expected: the wait
    /// of a request that joins the queue now, at least one median answer time.
    ///
    /// If all targets are paused, it is the time until the first one returns. Without
    /// the class, which may have been removed since the call arrived, it is the mean time
    /// for which a request occupies a slot.
    pub fn estimate_capacity_wait(&self, now: Instant, class: ClassKey) -> Duration {
        let pause_left = self.get_pause_left(now);
        if !pause_left.is_zero() {
            return pause_left;
        }
        match self.classes.get(class) {
            Some(class) => self
                .estimate_wait(now, class, class.get_next_rank(now))
                .max(self.get_cold_left(now))
                .max(class.answer_times.get_median()),
            None => self.get_hold_time(),
        }
    }

    /// Returns the first declared class whose route matches the request.
    pub fn find_class(&self, method: &str, path: &str) -> Option<ClassKey> {
        self.classes
            .iter_declared()
            .find(|(_, class)| class.spec.route.is_match(method, path))
            .map(|(key, _)| key)
    }

    /// Returns the declaration of a target.
    pub fn get_target(&self, key: TargetKey) -> Option<&crate::TargetSpec> {
        self.targets.get(key.get_index()).map(|t| &t.spec)
    }

    /// Returns true if the key names the given process of a target.
    ///
    /// The keys of removed targets are used again, so that a key which was kept while a
    /// probe was under way may name another target.
    pub fn is_same_target(
        &self,
        key: TargetKey,
        addr: SocketAddr,
        incarnation: &Incarnation,
    ) -> bool {
        self.get_target(key)
            .is_some_and(|spec| spec.addr == addr && spec.get_incarnation() == *incarnation)
    }

    /// Returns the key of the declared target with the name.
    pub fn find_target(&self, name: &str) -> Option<TargetKey> {
        self.targets
            .iter()
            .position(|t| !t.is_removed && t.spec.name == name)
            .map(TargetKey::from_index)
    }

    /// Returns the keys of all declared targets.
    pub fn get_target_keys(&self) -> impl Iterator<Item = TargetKey> + '_ {
        (0..self.targets.len())
            .filter(|&index| !self.targets[index].is_removed)
            .map(TargetKey::from_index)
    }

    /// Returns the age of a target's last report, if there is one.
    pub fn get_report_age(&self, now: Instant, key: TargetKey) -> Option<Duration> {
        self.targets[key.get_index()].get_report_age(now)
    }

    /// Returns the current inputs of a choice of the target.
    pub fn get_placement_inputs(&self, now: Instant, key: TargetKey) -> PlacementInputs {
        let target = &self.targets[key.get_index()];
        PlacementInputs {
            own: target.own,
            slots: target.spec.get_slots(),
            report_age: target.get_report_age(now),
            work_percent: target.report.and_then(|(report, _)| report.work_percent),
            waiting: self.count_waiting(),
        }
    }

    /// Returns true if the target reported that it is going to stop.
    pub fn is_leaving(&self, key: TargetKey) -> bool {
        self.targets[key.get_index()].is_leaving
    }

    /// Returns the number of this VM's attempts in flight on a target.
    pub fn get_in_flight(&self, key: TargetKey) -> u16 {
        self.targets[key.get_index()].own
    }

    /// Returns the number of calls that wait.
    pub fn count_waiting(&self) -> usize {
        self.classes.iter().map(|(_, class)| class.len()).sum()
    }

    /// Returns the number of calls that wait in one class.
    pub fn count_waiting_in_class(&self, class: ClassKey) -> usize {
        self.classes.get(class).map_or(0, |class| class.len())
    }

    /// Returns the number of calls that are not answered yet.
    pub fn count_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of attempts that occupy a slot.
    pub fn count_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the totals since the service was created.
    pub fn get_counters(&self) -> Counters {
        self.counters
    }

    /// Returns the status of each declared target in the view of this VM.
    pub fn get_status(&self, now: Instant) -> Vec<TargetStatus> {
        let fallback = self.get_mean_other_vms_load();
        let hold_time = self.get_hold_time();
        self.targets
            .iter()
            .filter(|target| !target.is_removed)
            .map(|target| target_status(target, now, hold_time, fallback))
            .collect()
    }
}

impl Target {
    pub(super) fn get_condition(&self, now: Instant) -> TargetCondition {
        if self.spec.drain || self.spec.weight == 0 {
            TargetCondition::Drained
        } else if self.is_leaving {
            TargetCondition::Leaving
        } else if self.spec.is_emptied {
            TargetCondition::Emptied
        } else if !self.health.is_active() {
            TargetCondition::Ejected
        } else if self.cold.is_cold(now) {
            TargetCondition::Cold
        } else {
            TargetCondition::Active
        }
    }
}

fn target_status(
    target: &Target,
    now: Instant,
    hold_time: Duration,
    fallback: f32,
) -> TargetStatus {
    let note = target.spec.note.as_ref();
    TargetStatus {
        name: target.spec.name.clone(),
        domain: target.spec.domain.clone(),
        condition: target.get_condition(now),
        own: target.own,
        occupancy: target.get_occupancy(now, hold_time, fallback),
        slots: target.get_slots(now),
        slowness: target.health.get_slowness(now),
        report_age_ms: target.get_report_age(now).map(|age| age.as_millis() as u64),
        reason: note.map(|note| note.reason.clone()),
        author: note.and_then(|note| note.author.clone()),
    }
}
