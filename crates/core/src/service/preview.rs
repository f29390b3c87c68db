//! What would happen to a call now, for operators who ask before they send.

use super::pick::ScoringContext;
use super::records::Call;
use super::sampling::BestWorkTime;
use super::target::Target;
use super::{Arrival, Service, TargetCondition, TargetKey};
use crate::{DomainName, ResultCode};
use rand::Rng;
use smol_str::SmolStr;
use std::time::{Duration, Instant};

/// What would happen to a call that arrived now.
#[derive(Debug, Clone, PartialEq)]
pub struct Preview {
    /// First step of the call.
    pub step: PreviewStep,
    /// Waiting calls that go before it.
    pub ahead: usize,
    /// Estimated wait for a slot.
    pub wait: Duration,
    /// Time in which answers of its class usually come.
    pub usual: Duration,
    /// Targets of the service: those that can take the call first, in the order of their
    /// scores.
    pub candidates: Vec<Candidate>,
}

/// First step of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PreviewStep {
    /// It is sent to the target with this name.
    Sent(SmolStr),
    /// Load requests are sent first, and their answers decide.
    Sampled,
    /// It waits for a slot.
    Waits,
    /// It is refused.
    Refused(ResultCode),
}

/// One target, and what speaks for or against it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name of the target.
    pub target: SmolStr,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Why the target cannot take the call, if so.
    pub obstacle: Option<Obstacle>,
    /// Sum of what speaks against the target, without the random part.
    pub score: Option<f32>,
    /// Attempts of this VM in flight.
    pub own: u16,
    /// Estimated requests in flight from all VMs.
    pub occupancy: f32,
    /// Slots that the fleet may use now.
    pub slots: f32,
    /// Answer times as a ratio to the median of their class.
    pub slowness: f32,
    /// Work time of the last report in percent of the usual one.
    pub work_percent: Option<u16>,
    /// Age of the last report.
    pub report_age: Option<Duration>,
    /// True if the target is in the failure domain of this VM.
    pub is_near: bool,
}

/// Why a target cannot take a call now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// It is drained.
    Drained,
    /// It is going to stop.
    Leaving,
    /// Operators have emptied its failure domain.
    Emptied,
    /// It failed or was slow.
    Ejected,
    /// It requested a pause.
    Paused,
    /// It has just started, and this VM has no part of its rate now.
    Cold,
    /// No slot is free.
    Full,
}

impl Obstacle {
    /// Returns the word that operators see.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Drained => "drained",
            Self::Leaving => "leaving",
            Self::Emptied => "emptied",
            Self::Ejected => "ejected",
            Self::Paused => "paused",
            Self::Cold => "cold",
            Self::Full => "full",
        }
    }
}

impl Service {
    /// Returns what [`Self::arrive`] would do with a call now, without any effect: nothing is
    /// learned, no budget is used, and the next real call finds the service as it is.
    pub fn preview(&self, now: Instant, arrival: Arrival) -> Preview {
        let Some(key) = self.find_arrival_class(&arrival) else {
            return Preview {
                step: PreviewStep::Refused(ResultCode::NoService),
                ahead: 0,
                wait: Duration::ZERO,
                usual: Duration::ZERO,
                candidates: Vec::new(),
            };
        };
        let class = &self.classes[key];
        let waited = arrival
            .time_left
            .map_or(Duration::ZERO, |left| class.patience.get_waited(left));
        let call = self.describe_call(now, arrival, key, waited);
        let usual = class.get_expected_time();
        let rank = call.make_rank(usual);
        Preview {
            step: self.preview_step(now, &call),
            ahead: self.count_calls_ahead(class, rank),
            wait: self.estimate_wait(now, class, rank),
            usual,
            candidates: self.collect_candidates(now, &call),
        }
    }

    fn preview_step(&self, now: Instant, call: &Call) -> PreviewStep {
        if let Some(code) = self.check_admission(now, call) {
            return PreviewStep::Refused(code);
        }
        let class = &self.classes[call.class];
        let rank = call.make_rank(class.get_expected_time());
        if self.count_calls_ahead(class, rank) > 0 {
            return PreviewStep::Waits;
        }
        if let Some(config) = self.spec.sampling {
            match self.find_best_work_time(now, config, call) {
                BestWorkTime::Good => {}
                BestWorkTime::NoCapacity => return PreviewStep::Waits,
                BestWorkTime::Slow | BestWorkTime::Unknown => return PreviewStep::Sampled,
            }
        }
        let target = self.preview_target(now, call);
        target.map_or(PreviewStep::Waits, |target| {
            PreviewStep::Sent(self.targets[target.get_index()].spec.name.clone())
        })
    }

    /// Returns the target that the next choice returns: a copy of the generator gives the
    /// random part that the next choice uses.
    fn preview_target(&self, now: Instant, call: &Call) -> Option<TargetKey> {
        let kind = self.classes[call.class].spec.kind;
        if let Some(target) = self.find_trial_target(now, call, kind) {
            return Some(target);
        }
        let context = self.make_scoring_context(now);
        let allowed = self.get_allowed_capacity(now, &context, kind);
        let jitter = self.rng.clone().next_u32();
        self.find_best_target(&context, call, allowed, jitter)
    }

    fn collect_candidates(&self, now: Instant, call: &Call) -> Vec<Candidate> {
        let context = self.make_scoring_context(now);
        let kind = self.classes[call.class].spec.kind;
        let allowed = self.get_allowed_capacity(now, &context, kind);
        let declared = self.targets.iter().filter(|target| !target.is_removed);
        let mut candidates: Vec<Candidate> = declared
            .map(|target| {
                let score = context.score_target(target, allowed);
                let score = score.filter(|_| target.is_usable());
                let score = score.map(|(_, score)| score + self.get_affinity_penalty(target));
                self.make_candidate(now, &context, target, score)
            })
            .collect();
        let rank = |candidate: &Candidate| candidate.score.unwrap_or(f32::INFINITY);
        candidates.sort_by(|a, b| rank(a).total_cmp(&rank(b)));
        candidates
    }

    fn make_candidate(
        &self,
        now: Instant,
        context: &ScoringContext,
        target: &Target,
        score: Option<f32>,
    ) -> Candidate {
        let other_vms = self.get_mean_other_vms_load();
        Candidate {
            target: target.spec.name.clone(),
            domain: target.spec.domain.clone(),
            obstacle: match score {
                Some(_) => None,
                None => Some(find_obstacle(now, context, target)),
            },
            score,
            own: target.own,
            occupancy: target.get_occupancy(now, self.get_hold_time(), other_vms),
            slots: target.get_slots(now),
            slowness: target.health.get_slowness(now),
            work_percent: target.report.and_then(|(report, _)| report.work_percent),
            report_age: target.get_report_age(now),
            is_near: target.spec.domain == self.domain,
        }
    }
}

/// Returns why a target without a score cannot take a call.
fn find_obstacle(now: Instant, context: &ScoringContext, target: &Target) -> Obstacle {
    match target.get_condition(now) {
        TargetCondition::Drained => Obstacle::Drained,
        TargetCondition::Leaving => Obstacle::Leaving,
        TargetCondition::Emptied => Obstacle::Emptied,
        TargetCondition::Ejected if context.is_ejected(target) => Obstacle::Ejected,
        _ if target.is_paused(now) => Obstacle::Paused,
        _ if !target.cold.is_open(now) => Obstacle::Cold,
        _ => Obstacle::Full,
    }
}
