//! State of one target in the view of one VM.

use super::ejection::Health;
use super::limit::Limit;
use super::{AttemptKey, LoadReport};
use crate::{ColdState, TargetSpec};
use std::time::{Duration, Instant};

/// One VM's state of one target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) spec: TargetSpec,
    pub(crate) limit: Limit,
    /// Whether the target is cold, if its service has a rate for cold targets.
    pub(crate) cold: ColdState,
    pub(crate) health: Health,
    /// Attempts of this VM in flight.
    pub(crate) own: u16,
    /// Attempts of this VM in flight that are background work.
    pub(crate) own_long: u16,
    /// Slots that this VM may use for background work.
    pub(crate) long_share: u16,
    /// True once the target has reported that it is going to stop.
    pub(crate) is_leaving: bool,
    /// True if the file in force no longer names the target.
    pub(crate) is_removed: bool,
    /// Start of the warm-up, during which the usable slots of the target rise.
    warming_since: Option<Instant>,
    other_vms: OtherVmsLoad,
    /// Last report and the time of its arrival.
    pub(crate) report: Option<(LoadReport, Instant)>,
    /// Time of the last load request.
    pub(crate) sampled_at: Option<Instant>,
    /// True if the target is in this VM's subset, see `Service::choose_subset`.
    pub(crate) is_in_subset: bool,
    /// Attempts of this VM in flight, ordered by start.
    running: Vec<AttemptKey>,
}

impl Target {
    /// Time until a new or returning target gets its full share, unless its
    /// declaration gives another one.
    pub(crate) const WARM_UP: Duration = Duration::from_secs(5);
    const WARM_UP_START: f32 = 0.34;

    pub(crate) fn new(spec: TargetSpec, warming_since: Option<Instant>) -> Self {
        Self {
            limit: Limit::new(spec.slots, spec.get_slots()),
            health: Health::new(),
            cold: ColdState::default(),
            own: 0,
            own_long: 0,
            long_share: 0,
            is_leaving: false,
            is_removed: false,
            warming_since,
            other_vms: OtherVmsLoad::new(),
            report: None,
            sampled_at: None,
            is_in_subset: true,
            running: Vec::new(),
            spec,
        }
    }

    pub(crate) fn occupy(&mut self, attempt: AttemptKey, is_long: bool) {
        self.own += 1;
        self.own_long += u16::from(is_long);
        self.running.push(attempt);
    }

    pub(crate) fn release(&mut self, attempt: AttemptKey, is_long: bool) {
        debug_assert!(self.own > 0, "an attempt was released twice");
        self.own -= 1;
        self.own_long -= u16::from(is_long);
        self.running.retain(|other| *other != attempt);
    }

    /// Compares a report with the attempts of this VM and updates the trust in the
    /// target's reports.
    ///
    /// When an answer arrives, every attempt that this VM started earlier on the
    /// target and that has no answer is still in flight there. A report below that
    /// number is outdated or wrong.
    pub(crate) fn check_report(&mut self, report: LoadReport, attempt: AttemptKey) {
        let earlier = self.running.iter().position(|other| *other == attempt);
        if let Some(earlier) = earlier {
            self.other_vms
                .update_trust(report.in_flight, earlier as u16 + 1);
        }
    }

    pub(crate) fn start_warming(&mut self, now: Instant) {
        self.warming_since = Some(now);
    }

    /// Returns true if the target may receive requests, regardless of ejection.
    pub(crate) fn is_usable(&self) -> bool {
        self.is_usable_otherwise() && !self.spec.is_emptied
    }

    /// Returns true if only the evacuation of its failure domain keeps requests from the
    /// target.
    pub(crate) fn is_held_by_evacuation(&self) -> bool {
        self.is_usable_otherwise() && self.spec.is_emptied
    }

    fn is_usable_otherwise(&self) -> bool {
        !self.is_removed && !self.is_leaving && !self.spec.drain && self.spec.weight > 0
    }

    /// Returns true if the target has requested a pause that has not ended.
    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.spec.paused_until.is_some_and(|until| now < until)
    }

    /// Slots of the target that the fleet may use now.
    pub(crate) fn get_slots(&self, now: Instant) -> f32 {
        let weighted = self.limit.get() * f32::from(self.spec.weight) / 100.0;
        (weighted * self.get_warm_up_factor(now)).max(1.0)
    }

    /// Estimated requests in flight from all VMs of the fleet.
    pub(crate) fn get_occupancy(&self, now: Instant, hold_time: Duration, fallback: f32) -> f32 {
        f32::from(self.own) + self.other_vms.estimate(now, hold_time, fallback)
    }

    /// Mean requests of other VMs and the trust in the reports.
    pub(crate) fn get_other_vms_load(&self) -> (f32, f32) {
        (self.other_vms.mean, self.other_vms.trust)
    }

    pub(crate) fn get_report_age(&self, now: Instant) -> Option<Duration> {
        self.other_vms
            .at
            .map(|at| now.saturating_duration_since(at))
    }

    pub(crate) fn record_report(&mut self, now: Instant, report: LoadReport) {
        self.other_vms.record(now, report.in_flight, self.own);
        self.report = Some((report, now));
    }

    /// Returns the last report if it is not older than `age`.
    pub(crate) fn get_report(&self, now: Instant, age: Duration) -> Option<LoadReport> {
        self.report
            .filter(|(_, at)| now.saturating_duration_since(*at) <= age)
            .map(|(report, _)| report)
    }

    /// Records the target as full after it shed a request without a report.
    pub(crate) fn assume_full(&mut self, now: Instant) {
        let slots = self.get_slots(now).round() as u16;
        self.other_vms.record(now, slots.max(self.own), self.own);
    }

    fn get_warm_up_factor(&self, now: Instant) -> f32 {
        let Some(since) = self.warming_since else {
            return 1.0;
        };
        let warm_up = self.spec.warm_up.unwrap_or(Self::WARM_UP);
        if warm_up.is_zero() {
            return 1.0;
        }
        let age = now.saturating_duration_since(since).as_secs_f32();
        let progress = (age / warm_up.as_secs_f32()).min(1.0);
        Self::WARM_UP_START + (1.0 - Self::WARM_UP_START) * progress
    }
}

/// Requests of other VMs on a target, derived from the target's reports.
#[derive(Debug)]
struct OtherVmsLoad {
    last: f32,
    mean: f32,
    /// Trust in the reports, from 0 to 1.
    trust: f32,
    at: Option<Instant>,
}

impl OtherVmsLoad {
    const MEAN_WEIGHT: f32 = 0.1;
    /// Age at which a report counts half, so that an idle service does not count
    /// as busy when its load rises again.
    const REPORT_DECAY_TIME: Duration = Duration::from_secs(1);
    const TRUST_LOSS_FACTOR: f32 = 0.5;
    const TRUST_GAIN: f32 = 0.002;

    fn new() -> Self {
        Self {
            last: 0.0,
            mean: 0.0,
            trust: 1.0,
            at: None,
        }
    }

    fn record(&mut self, now: Instant, in_flight: u16, own: u16) {
        self.last = f32::from(in_flight.saturating_sub(own));
        self.mean += Self::MEAN_WEIGHT * (self.last - self.mean);
        self.at = Some(now);
    }

    fn update_trust(&mut self, reported: u16, certain: u16) {
        if reported < certain {
            self.trust *= Self::TRUST_LOSS_FACTOR;
        } else {
            self.trust = (self.trust + Self::TRUST_GAIN).min(1.0);
        }
    }

    /// Estimates the requests of other VMs now.
    ///
    /// The weight of the last report against the mean halves within one hold time.
    fn estimate(&self, now: Instant, hold_time: Duration, fallback: f32) -> f32 {
        let Some(at) = self.at else {
            return fallback;
        };
        let age = now.saturating_duration_since(at).as_secs_f32();
        let weight = 1.0 / (1.0 + age / hold_time.as_secs_f32());
        let old = age / Self::REPORT_DECAY_TIME.as_secs_f32();
        let reported = (self.mean + (self.last - self.mean) * weight) / (1.0 + old * old);
        self.trust * reported + (1.0 - self.trust) * fallback
    }
}
