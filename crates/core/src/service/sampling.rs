//! Questions to targets just before a request is placed.
//!
//! Where machines are shared, how long work takes on one changes many times a
//! second, and a request keeps for its whole run the pace that it met at its
//! start. No report of an earlier answer is fresh enough to tell, so a few
//! targets are asked. docs/decisions/0015-sampling.md has the costs.

use super::class::{Class, HedgeCheck};
use super::pick::{AllowedCapacity, get_jitter};
use super::records::CallState;
use super::{CallKey, Output, Service, TargetKey};
use crate::Sampling;
use rand::Rng;
use std::time::{Duration, Instant};

/// What is known about the pace of targets in general, and the room for questions.
#[derive(Debug)]
pub(super) struct Sampler {
    mean_work_time: f32,
    tokens: f32,
    refilled: Option<Instant>,
}

impl Default for Sampler {
    fn default() -> Self {
        Self {
            mean_work_time: 1.0,
            tokens: 0.0,
            refilled: None,
        }
    }
}

impl Sampler {
    const WORK_TIME_WEIGHT: f32 = 0.05;

    /// Takes in one figure of a target.
    pub(super) fn record_work_time(&mut self, percent: u16) {
        self.mean_work_time +=
            Self::WORK_TIME_WEIGHT * (f32::from(percent) / 100.0 - self.mean_work_time);
    }

    /// Takes questions out of the budget; at most a second's worth is saved up.
    fn consume(&mut self, now: Instant, per_second: f32, wanted: usize) -> usize {
        let passed = self.refilled.map_or(Duration::from_secs(1), |at| {
            now.saturating_duration_since(at)
        });
        self.refilled = Some(now);
        self.tokens = (self.tokens + per_second * passed.as_secs_f32()).min(per_second);
        let granted = wanted.min(self.tokens as usize);
        self.tokens -= granted as f32;
        granted
    }
}

/// The best that is known of the targets with room, from worst to best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum BestWorkTime {
    /// No target has room.
    NoCapacity,
    /// Work would take long on every target with room.
    Slow,
    /// Some target with room has not told its pace lately.
    Unknown,
    /// Some target with room works at a good pace.
    Good,
}

/// What came of a round of questions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestRound {
    /// So many targets were asked; none if the budget is spent.
    Targets(usize),
    /// Every target with room has told its pace or was asked just now.
    NoCandidates,
}

impl Service {
    /// Factor of the usual time up to which a target's pace is good enough to
    /// place a request without asking further.
    const GOOD_WORK_TIME: f32 = 1.5;
    /// Rounds of questions for one request; after them it goes to the best that is known.
    const MAX_ROUNDS: u8 = 12;
    /// Rounds of questions for one second attempt.
    const HEDGE_ROUNDS: u8 = 2;
    /// VMs assumed as long as the fleet's size is not known.
    const ASSUMED_VMS: f32 = 50.0;

    /// Returns true if a waiting call can be placed now; otherwise questions
    /// are under way, or it waits for a target whose pace lets it answer in time.
    ///
    /// Work that starts on a slow machine holds its slot for several times the
    /// usual time and is late in the end. In a crest the slot is worth more to
    /// those behind, once the pace has changed.
    pub(super) fn is_sampled(&mut self, now: Instant, key: CallKey, out: &mut Vec<Output>) -> bool {
        let Some(plan) = self.spec.sampling else {
            return true;
        };
        let best = self.find_best_work_time(now, plan, key);
        match best {
            BestWorkTime::Good => return true,
            BestWorkTime::NoCapacity => return false,
            BestWorkTime::Slow | BestWorkTime::Unknown => {}
        }
        let state = self.calls[key].sampling;
        let is_pending = state.until.is_some_and(|until| now < until);
        if is_pending && (self.count_unanswered(now, plan) > 0 || state.is_paused) {
            return false;
        }
        let has_time = self.has_time_for_round(now, plan, key);
        if state.rounds >= Self::MAX_ROUNDS || !has_time {
            // An idle slot is better used late than not at all.
            return self.count_waiting() <= 1 || has_time;
        }
        let requested = self.send_load_requests(now, plan, key, out);
        let are_all_unreported =
            best == BestWorkTime::Unknown && self.count_unanswered(now, plan) == 0;
        if requested == RequestRound::NoCandidates && are_all_unreported {
            // Those that did not answer in time may still work.
            return true;
        }
        // With nobody left to ask, the pace of those that were asked may change.
        let is_paused = matches!(
            requested,
            RequestRound::NoCandidates | RequestRound::Targets(0)
        );
        let pause = if is_paused { plan.fresh / 2 } else { plan.wait };
        let sampling = &mut self.calls[key].sampling;
        sampling.rounds += 1;
        sampling.until = Some(now + pause);
        sampling.is_paused = is_paused;
        false
    }

    /// Factor that stands for a target without a fresh report: above what a
    /// good pace, another domain and a nearly full target score together, since
    /// the next request may find a pace several times slower there.
    const UNKNOWN_WORK_TIME: f32 = 3.0;

    /// Returns the factor of the usual time that is expected of a target
    /// without a fresh report.
    pub(super) fn get_unknown_work_time(&self) -> f32 {
        match self.spec.sampling {
            Some(_) => self.sampler.mean_work_time.max(Self::UNKNOWN_WORK_TIME),
            None => 1.0,
        }
    }

    /// Asks targets before a second attempt, which is worth its cost only on one
    /// that works at a good pace; returns true if the answers are waited for.
    pub(super) fn request_hedge_samples(
        &mut self,
        now: Instant,
        class: usize,
        key: CallKey,
        check: HedgeCheck,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(plan) = self.spec.sampling else {
            return false;
        };
        let is_done = check.rounds >= Self::HEDGE_ROUNDS
            || matches!(
                self.find_best_work_time(now, plan, key),
                BestWorkTime::Good | BestWorkTime::NoCapacity
            );
        if is_done
            || !matches!(
                self.send_load_requests(now, plan, key, out),
                RequestRound::Targets(1..)
            )
        {
            return false;
        }
        let again = HedgeCheck {
            rounds: check.rounds + 1,
            ..check
        };
        self.classes[class]
            .hedge_rechecks
            .push_back((now + plan.wait, again));
        true
    }

    /// Returns when the first waiting call of a class stops to wait for reports.
    pub(super) fn next_sample_wait_end(&self, now: Instant, class: &Class) -> Option<Instant> {
        let front = class.front()?;
        let until = self.calls.get(front.call)?.sampling.until?;
        (until > now).then_some(until)
    }

    /// Returns what is known of the targets that have room for the call.
    fn find_best_work_time(&self, now: Instant, plan: Sampling, key: CallKey) -> BestWorkTime {
        let context = self.make_scoring_context(now);
        let call = &self.calls[key];
        let mut best = BestWorkTime::NoCapacity;
        for (index, target) in self.targets.iter().enumerate() {
            let is_candidate = target.is_usable()
                && !call.has_tried(TargetKey(index as u16))
                && context
                    .score_target(target, AllowedCapacity::Free)
                    .is_some();
            if !is_candidate {
                continue;
            }
            let found = match target.get_report(now, plan.fresh) {
                None => BestWorkTime::Unknown,
                Some(report) => match report.work_percent {
                    Some(percent) if f32::from(percent) / 100.0 > Self::GOOD_WORK_TIME => {
                        BestWorkTime::Slow
                    }
                    Some(_) | None => BestWorkTime::Good,
                },
            };
            best = best.max(found);
        }
        best
    }

    /// Returns how many targets were asked and may still answer in time.
    fn count_unanswered(&self, now: Instant, plan: Sampling) -> usize {
        self.targets
            .iter()
            .filter(|target| {
                target.sampled_at.is_some_and(|requested| {
                    let is_answered = target.report.is_some_and(|(_, at)| at >= requested);
                    !is_answered && now.saturating_duration_since(requested) < plan.wait
                })
            })
            .count()
    }

    /// Returns true if another round leaves time for the work itself.
    fn has_time_for_round(&self, now: Instant, plan: Sampling, key: CallKey) -> bool {
        let call = &self.calls[key];
        let answer_times = &self.classes[call.class.get_index()].answer_times;
        call.state == CallState::Waiting
            && now + plan.wait + answer_times.get_median() < call.useful_until
    }

    /// Asks the most promising targets without a fresh report.
    fn send_load_requests(
        &mut self,
        now: Instant,
        plan: Sampling,
        key: CallKey,
        out: &mut Vec<Output>,
    ) -> RequestRound {
        let context = self.make_scoring_context(now);
        // VMs with equal views would otherwise ask the same targets.
        let jitter = self.rng.next_u32();
        let call = &self.calls[key];
        let mut candidates: Vec<(f32, usize)> = self
            .targets
            .iter()
            .enumerate()
            .filter(|(index, target)| {
                let is_reported = target.get_report(now, plan.fresh).is_some();
                let is_requested = target
                    .sampled_at
                    .is_some_and(|at| now.saturating_duration_since(at) < plan.fresh);
                target.is_usable()
                    && !is_reported
                    && !is_requested
                    && !call.has_tried(TargetKey(*index as u16))
            })
            .filter_map(|(index, target)| {
                let (_, score) = context.score_target(target, AllowedCapacity::Free)?;
                let score = score + self.get_affinity_penalty(target) + get_jitter(jitter, index);
                Some((score, index))
            })
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        if candidates.is_empty() {
            return RequestRound::NoCandidates;
        }
        candidates.truncate(usize::from(plan.fanout));
        let vms = match self.vms {
            0 | 1 => Self::ASSUMED_VMS,
            vms => f32::from(vms),
        };
        let per_second = f32::from(self.spec.probes_per_second) / vms;
        let granted = self.sampler.consume(now, per_second, candidates.len());
        for (_, index) in &candidates[..granted] {
            self.targets[*index].sampled_at = Some(now);
            out.push(Output::Sample {
                target: TargetKey(*index as u16),
            });
        }
        RequestRound::Targets(granted)
    }
}
