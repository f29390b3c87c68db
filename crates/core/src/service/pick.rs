//! Choice of a target.
//!
//! Every choice scans all targets: the scan is affordable at the declared sizes
//! and always finds a free slot. Alternatives are compared in
//! docs/decisions/0002-routing.md.

use super::records::{Call, CallState};
use super::target::Target;
use super::weighted_mean::WeightedMean;
use super::{AttemptKind, CallKey, Service, TargetKey};
use crate::ClassKind;
use rand::Rng;
use std::time::{Duration, Instant};

/// Target chosen for a first attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct Choice {
    pub(super) target: TargetKey,
    pub(super) kind: AttemptKind,
}

/// Capacity of a target for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Capacity {
    /// A slot is estimated to be free, over all VMs of the fleet.
    Free,
    /// The slots may be taken by other VMs, but this VM uses less than its share.
    Share,
}

/// Capacity that a call may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AllowedCapacity {
    /// A slot that is estimated to be free.
    Free,
    /// A slot that is estimated to be free, otherwise one within the share of this VM.
    Any,
    /// A background slot assigned to this VM.
    Long,
}

/// Figures over all targets that scores are computed from.
#[derive(Debug, Clone, Copy)]
pub(super) struct ScoringContext {
    now: Instant,
    hold_time: Duration,
    /// Mean requests of other VMs, for targets whose reports are not trusted.
    other_vms: f32,
    /// True if the service samples loads, so that the occupancy is accurate.
    is_sampled: bool,
    /// Age up to which a report's work time is used.
    fresh: Duration,
    /// Relative work time assumed for a target without a fresh report.
    work_time: f32,
    /// Mean slowness of the active targets.
    slowness: f32,
    is_ejection_ignored: bool,
    fair_share: u32,
}

impl Service {
    /// Slots by which the estimated occupancy may exceed the slots of a target
    /// for a VM that is below its fair share.
    const SHARE_SLACK: f32 = 2.0;
    /// Multiple of the fair share that a VM may have in flight.
    ///
    /// A slot would otherwise be idle until the report that it is free and the
    /// next request have arrived.
    const SHARE_FACTOR: f32 = 2.5;
    /// Fraction of a slot that has to be free by the estimate.
    const FREE_FRACTION: f32 = 0.5;
    /// Score weight of the share of slots in use, which spreads load over equal targets.
    const LOAD_WEIGHT: f32 = 0.3;
    /// Slowness above the service's mean from which a target counts as full.
    const FULL_SLOWNESS: f32 = 1.6;
    /// Score added for a target that the call has already tried.
    const TRIED_PENALTY: f32 = 1.0;
    /// Share of the slots above which a target may slow down, according to its service.
    const CROWDED_SHARE: f32 = 0.8;
    /// Score added above `CROWDED_SHARE`, where work may take 1.5 times as long.
    const CROWDED_PENALTY: f32 = 0.5;
    /// Score added for a target in another failure domain, since bytes between
    /// domains cost more than a tenth of the value of an answer.
    const REMOTE_PENALTY: f32 = 0.5;
    /// Range of the random part of a score, which makes VMs with equal state choose
    /// different targets.
    const JITTER: f32 = 0.1;
    /// Time without short calls after which background work may use reserved slots.
    const RESERVE_IDLE_TIME: Duration = Duration::from_secs(1);

    /// Chooses a target with capacity for a waiting call.
    pub(super) fn pick(&mut self, now: Instant, key: CallKey) -> Option<Choice> {
        let kind = self.get_kind(key);
        if let Some(target) = self.find_trial_target(now, &self.calls[key], kind) {
            return Some(Choice {
                target,
                kind: AttemptKind::Trial,
            });
        }
        let is_repeat = self.calls[key].count_attempts() > 0;
        let target = self.pick_target(now, key)?;
        let kind = if is_repeat {
            AttemptKind::Retry
        } else {
            AttemptKind::First
        };
        Some(Choice { target, kind })
    }

    /// Returns the capacity that a call of the kind may use.
    pub(super) fn get_allowed_capacity(
        &self,
        now: Instant,
        context: &ScoringContext,
        kind: ClassKind,
    ) -> AllowedCapacity {
        if kind == ClassKind::Background {
            return if self.is_reserve_idle(now) {
                AllowedCapacity::Free
            } else {
                AllowedCapacity::Long
            };
        }
        let limit = context.fair_share as f32 * Self::SHARE_FACTOR;
        let is_sharing_allowed = self.spec.sampling.is_none();
        if is_sharing_allowed && (self.own_total as f32) < limit {
            AllowedCapacity::Any
        } else {
            AllowedCapacity::Free
        }
    }

    /// Chooses a target for an attempt now, a first one or a retry.
    pub(super) fn pick_target(&mut self, now: Instant, key: CallKey) -> Option<TargetKey> {
        let context = self.make_scoring_context(now);
        let allowed = self.get_allowed_capacity(now, &context, self.get_kind(key));
        self.scan(&context, key, allowed)
    }

    /// Chooses a target with a free slot for a hedge.
    ///
    /// Returns `None` while calls wait, since a hedge would take a slot from them.
    pub(super) fn pick_hedge_target(&mut self, now: Instant, key: CallKey) -> Option<TargetKey> {
        if self.count_waiting() > 0 {
            return None;
        }
        let context = self.make_scoring_context(now);
        self.scan(&context, key, AllowedCapacity::Free)
    }

    /// Slots of the active targets divided by the number of live VMs.
    pub(super) fn get_fair_share(&self) -> u32 {
        let slots: f32 = self
            .targets
            .iter()
            .filter(|t| t.is_usable() && t.health.is_active())
            .map(|t| t.limit.get())
            .sum();
        (slots / f32::from(self.vms)).ceil() as u32
    }

    /// Mean requests of other VMs on a target, used for targets without a trusted
    /// report.
    ///
    /// The mean is taken over targets with trusted reports. Without any it is 0, so
    /// that only this VM's own requests count.
    pub(super) fn get_mean_other_vms_load(&self) -> f32 {
        let mut other_vms = WeightedMean::default();
        for target in self.targets.iter().filter(|t| t.is_usable()) {
            other_vms.add_target(target);
        }
        other_vms.get()
    }

    /// Computes the scoring context in one pass over the targets.
    pub(super) fn make_scoring_context(&self, now: Instant) -> ScoringContext {
        let mut other_vms = WeightedMean::default();
        let (mut usable, mut active) = (0_u32, 0_u32);
        let (mut slowness, mut slots) = (0.0, 0.0);
        let in_use = self.targets.iter();
        for target in in_use.filter(|t| t.is_usable() && !t.is_paused(now)) {
            usable += 1;
            other_vms.add_target(target);
            if target.health.is_active() {
                active += 1;
                slowness += target.health.get_slowness(now);
                slots += target.limit.get();
            }
        }
        ScoringContext {
            now,
            hold_time: self.get_hold_time(),
            other_vms: other_vms.get(),
            is_sampled: self.spec.sampling.is_some(),
            fresh: self
                .spec
                .sampling
                .map_or(Duration::ZERO, |config| config.fresh),
            work_time: self.get_unknown_work_time(),
            slowness: if active == 0 {
                1.0
            } else {
                slowness / active as f32
            },
            // With fewer than half of the targets active, ejection would only add load to the rest.
            is_ejection_ignored: active * 2 < usable,
            fair_share: (slots / f32::from(self.vms)).ceil() as u32,
        }
    }

    /// Mean hold time of the first short class, or of the first class if none is short;
    /// the weight of load reports halves within it.
    pub(super) fn get_hold_time(&self) -> Duration {
        self.classes
            .iter()
            .find(|(_, class)| class.spec.kind != ClassKind::Background)
            .or_else(|| self.classes.iter().next())
            .map(|(_, class)| class.answer_times.get_hold_time())
            .unwrap_or(Duration::from_millis(10))
    }

    fn get_kind(&self, key: CallKey) -> ClassKind {
        let class = self.calls[key].class;
        self.classes[class].spec.kind
    }

    fn is_reserve_idle(&self, now: Instant) -> bool {
        self.last_short_arrival
            .is_none_or(|at| now.saturating_duration_since(at) > Self::RESERVE_IDLE_TIME)
    }

    /// Returns an ejected target whose trial is due, if this call may be the trial.
    pub(super) fn find_trial_target(
        &self,
        now: Instant,
        call: &Call,
        kind: ClassKind,
    ) -> Option<TargetKey> {
        let is_trial_allowed =
            kind == ClassKind::Interactive && call.is_replayable && call.count_attempts() == 0;
        if !is_trial_allowed || !self.retries.has_token() {
            return None;
        }
        self.targets
            .iter()
            .position(|t| {
                let is_idle = t.own == 0 && t.cold.is_open(now);
                t.is_usable() && !t.is_paused(now) && is_idle && t.health.is_trial_due(now)
            })
            .map(TargetKey::from_index)
    }

    /// Chooses the target with capacity and the lowest score.
    ///
    /// An immediate retry or a hedge uses a target that the call has not tried. A
    /// call from the queue may use one again; otherwise it could block the queue
    /// while only targets that it has tried have capacity.
    fn scan(
        &mut self,
        context: &ScoringContext,
        key: CallKey,
        allowed: AllowedCapacity,
    ) -> Option<TargetKey> {
        let jitter = self.rng.next_u32();
        self.find_best_target(context, &self.calls[key], allowed, jitter)
    }

    /// Returns the target with capacity and the lowest score, with the random parts that a
    /// random word gives.
    pub(super) fn find_best_target(
        &self,
        context: &ScoringContext,
        call: &Call,
        allowed: AllowedCapacity,
        jitter: u32,
    ) -> Option<TargetKey> {
        let is_reuse_allowed = call.state == CallState::Waiting;
        let mut best: Option<(Capacity, f32, usize)> = None;
        for (index, target) in self.targets.iter().enumerate() {
            let is_tried = call.has_tried(TargetKey::from_index(index));
            if !target.is_usable() || (is_tried && !is_reuse_allowed) {
                continue;
            }
            let Some((capacity, score)) = context.score_target(target, allowed) else {
                continue;
            };
            let penalty = if is_tried { Self::TRIED_PENALTY } else { 0.0 };
            let score =
                score + penalty + self.get_affinity_penalty(target) + get_jitter(jitter, index);
            if best.is_none_or(|(best_capacity, best_score, _)| {
                is_better(capacity, score, best_capacity, best_score)
            }) {
                best = Some((capacity, score, index));
            }
        }
        best.map(|(_, _, index)| TargetKey::from_index(index))
    }
}

impl Service {
    /// Returns the score penalty for a target in another failure domain or outside
    /// this VM's subset.
    pub(super) fn get_affinity_penalty(&self, target: &Target) -> f32 {
        let remote = if target.spec.domain == self.domain {
            0.0
        } else {
            Self::REMOTE_PENALTY
        };
        remote + self.get_subset_penalty(target.is_in_subset)
    }
}

impl ScoringContext {
    /// Returns the capacity of the target and its score, if it has capacity; a lower
    /// score is better.
    pub(super) fn score_target(
        &self,
        target: &Target,
        allowed: AllowedCapacity,
    ) -> Option<(Capacity, f32)> {
        if !target.cold.is_open(self.now) {
            return None;
        }
        self.score_warm(target, allowed)
    }

    /// Returns true if the target gets nothing because it is ejected.
    pub(super) fn is_ejected(&self, target: &Target) -> bool {
        !target.health.is_active() && !self.is_ejection_ignored
    }

    /// Returns the same as [`Self::score_target`], also for a target that may only be asked
    /// whether it is cold.
    pub(super) fn score_for_sample(&self, target: &Target) -> Option<(Capacity, f32)> {
        let is_open = target.cold.is_open(self.now) || target.cold.is_suspected(self.now);
        is_open.then(|| self.score_warm(target, AllowedCapacity::Free))?
    }

    fn score_warm(&self, target: &Target, allowed: AllowedCapacity) -> Option<(Capacity, f32)> {
        if self.is_ejected(target) || target.is_paused(self.now) {
            return None;
        }
        let slots = target.get_slots(self.now);
        let slot_count = slots.ceil() as u16;
        if target.own >= slot_count.min(target.spec.connections) {
            return None;
        }
        let slowness = (target.health.get_slowness(self.now) / self.slowness).max(1.0);
        let mut occupancy = target.get_occupancy(self.now, self.hold_time, self.other_vms);
        let report = target.get_report(self.now, self.fresh);
        if let Some(report) = report {
            occupancy = occupancy.max(f32::from(report.in_flight));
        }
        let work_time = report
            .and_then(|report| report.work_percent)
            .map_or(self.work_time, |percent| f32::from(percent) / 100.0);
        if slowness > Service::FULL_SLOWNESS {
            // Answer times take precedence over load reports.
            occupancy = occupancy.max(slots * (slowness - 0.5));
        }
        let capacity = find_capacity(target, allowed, slots, occupancy)?;
        let excess = (occupancy + 1.0 - slots).max(0.0) / slots;
        let crowding = if self.is_sampled && occupancy + 1.0 > Service::CROWDED_SHARE * slots {
            Service::CROWDED_PENALTY
        } else {
            0.0
        };
        Some((
            capacity,
            slowness * work_time * (1.0 + excess)
                + Service::LOAD_WEIGHT * occupancy / slots
                + crowding,
        ))
    }
}

fn find_capacity(
    target: &Target,
    allowed: AllowedCapacity,
    slots: f32,
    occupancy: f32,
) -> Option<Capacity> {
    if allowed == AllowedCapacity::Long {
        return (target.own_long < target.long_share).then_some(Capacity::Free);
    }
    if occupancy + Service::FREE_FRACTION <= slots {
        return Some(Capacity::Free);
    }
    let is_shared = allowed == AllowedCapacity::Any && occupancy <= slots + Service::SHARE_SLACK;
    is_shared.then_some(Capacity::Share)
}

/// Compares a candidate with the best one so far; a free slot precedes a shared one.
fn is_better(capacity: Capacity, score: f32, best_capacity: Capacity, best_score: f32) -> bool {
    match (capacity, best_capacity) {
        (Capacity::Free, Capacity::Share) => true,
        (Capacity::Share, Capacity::Free) => false,
        (Capacity::Free, Capacity::Free) | (Capacity::Share, Capacity::Share) => score < best_score,
    }
}

/// Returns the random part of a target's score, derived from one random word for all targets.
pub(super) fn get_jitter(word: u32, index: usize) -> f32 {
    let mixed = (word ^ (index as u32).wrapping_mul(0x9E37_79B9)).wrapping_mul(0x85EB_CA6B);
    Service::JITTER * (mixed >> 8) as f32 / (1 << 24) as f32
}
