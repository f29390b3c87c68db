//! Questions to targets just before a request is placed.
//!
//! Where machines are shared, how long work takes on one changes many times a
//! second, and a request keeps for its whole run the pace that it met at its
//! start. No report of an earlier answer is fresh enough to tell, so a few
//! targets are asked. docs/decisions/0015-sampling.md has the costs.

use super::class::{Class, HedgeCheck};
use super::pick::{Wanted, get_jitter};
use super::records::CallState;
use super::{CallKey, Output, Service, TargetKey};
use crate::Sampling;
use rand::Rng;
use std::time::{Duration, Instant};

/// What is known about the pace of targets in general, and the room for questions.
#[derive(Debug)]
pub(super) struct Sampler {
    mean_work: f32,
    tokens: f32,
    refilled: Option<Instant>,
}

impl Default for Sampler {
    fn default() -> Self {
        Self {
            mean_work: 1.0,
            tokens: 0.0,
            refilled: None,
        }
    }
}

impl Sampler {
    const WORK_WEIGHT: f32 = 0.05;

    /// Takes in one figure of a target.
    pub(super) fn note_work(&mut self, percent: u16) {
        self.mean_work += Self::WORK_WEIGHT * (f32::from(percent) / 100.0 - self.mean_work);
    }

    /// Takes questions out of the budget; at most a second's worth is saved up.
    fn spend(&mut self, now: Instant, per_second: f32, wanted: usize) -> usize {
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
enum Best {
    /// No target has room.
    NoRoom,
    /// Work would take long on every target with room.
    Slow,
    /// Some target with room has not told its pace lately.
    Unknown,
    /// Some target with room works at a good pace.
    Good,
}

/// What came of a round of questions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Asked {
    /// So many targets were asked; none if the budget is spent.
    Targets(usize),
    /// Every target with room has told its pace or was asked just now.
    NobodyLeft,
}

impl Service {
    /// Factor of the usual time up to which a target's pace is good enough to
    /// place a request without asking further.
    const GOOD_WORK: f32 = 1.5;
    /// Rounds of questions for one request; after them it goes to the best that is known.
    const MAX_ROUNDS: u8 = 12;
    /// Rounds of questions for one second attempt.
    const HEDGE_ROUNDS: u8 = 2;
    /// VMs assumed as long as the fleet's size is not known.
    const CAUTIOUS_VMS: f32 = 50.0;

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
        let best = self.find_best_work(now, plan, key);
        match best {
            Best::Good => return true,
            Best::NoRoom => return false,
            Best::Slow | Best::Unknown => {}
        }
        let state = self.calls[key].sampling;
        let is_pending = state.until.is_some_and(|until| now < until);
        if is_pending && (self.count_unanswered(now, plan) > 0 || state.is_pause) {
            return false;
        }
        let has_time = self.has_time_to_ask(now, plan, key);
        if state.rounds >= Self::MAX_ROUNDS || !has_time {
            // An idle slot is better used late than not at all.
            return self.count_waiting() <= 1 || has_time;
        }
        let asked = self.ask(now, plan, key, out);
        let is_mute = best == Best::Unknown && self.count_unanswered(now, plan) == 0;
        if asked == Asked::NobodyLeft && is_mute {
            // Those that did not answer in time may still work.
            return true;
        }
        // With nobody left to ask, the pace of those that were asked may change.
        let is_pause = matches!(asked, Asked::NobodyLeft | Asked::Targets(0));
        let pause = if is_pause { plan.fresh / 2 } else { plan.wait };
        let sampling = &mut self.calls[key].sampling;
        sampling.rounds += 1;
        sampling.until = Some(now + pause);
        sampling.is_pause = is_pause;
        false
    }

    /// Factor that stands for a target without a fresh report: above what a
    /// good pace, another domain and a nearly full target score together, since
    /// the next request may find a pace several times slower there.
    const UNKNOWN_WORK: f32 = 3.0;

    /// Returns the factor of the usual time that is expected of a target
    /// without a fresh report.
    pub(super) fn get_unknown_work(&self) -> f32 {
        match self.spec.sampling {
            Some(_) => self.sampler.mean_work.max(Self::UNKNOWN_WORK),
            None => 1.0,
        }
    }

    /// Asks targets before a second attempt, which is worth its cost only on one
    /// that works at a good pace; returns true if the answers are waited for.
    pub(super) fn is_hedge_asked(
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
                self.find_best_work(now, plan, key),
                Best::Good | Best::NoRoom
            );
        if is_done || !matches!(self.ask(now, plan, key, out), Asked::Targets(1..)) {
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
    pub(super) fn next_sample(&self, now: Instant, class: &Class) -> Option<Instant> {
        let front = class.front()?;
        let until = self.calls.get(front.call)?.sampling.until?;
        (until > now).then_some(until)
    }

    /// Returns what is known of the targets that have room for the call.
    fn find_best_work(&self, now: Instant, plan: Sampling, key: CallKey) -> Best {
        let overview = self.make_overview(now);
        let call = &self.calls[key];
        let mut best = Best::NoRoom;
        for (index, target) in self.targets.iter().enumerate() {
            let is_open = target.is_usable()
                && !call.has_tried(TargetKey(index as u16))
                && overview.judge(target, Wanted::Free).is_some();
            if !is_open {
                continue;
            }
            let found = match target.get_report(now, plan.fresh) {
                None => Best::Unknown,
                Some(report) => match report.work_percent {
                    Some(percent) if f32::from(percent) / 100.0 > Self::GOOD_WORK => Best::Slow,
                    Some(_) | None => Best::Good,
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
                target.sampled_at.is_some_and(|asked| {
                    let is_answered = target.report.is_some_and(|(_, at)| at >= asked);
                    !is_answered && now.saturating_duration_since(asked) < plan.wait
                })
            })
            .count()
    }

    /// Returns true if another round leaves time for the work itself.
    fn has_time_to_ask(&self, now: Instant, plan: Sampling, key: CallKey) -> bool {
        let call = &self.calls[key];
        let usual = &self.classes[call.class.get_index()].usual;
        call.state == CallState::Waiting && now + plan.wait + usual.get_median() < call.useful_until
    }

    /// Asks the most promising targets without a fresh report.
    fn ask(&mut self, now: Instant, plan: Sampling, key: CallKey, out: &mut Vec<Output>) -> Asked {
        let overview = self.make_overview(now);
        // VMs with equal views would otherwise ask the same targets.
        let jitter = self.rng.next_u32();
        let call = &self.calls[key];
        let mut candidates: Vec<(f32, usize)> = self
            .targets
            .iter()
            .enumerate()
            .filter(|(index, target)| {
                let is_known = target.get_report(now, plan.fresh).is_some();
                let is_asked = target
                    .sampled_at
                    .is_some_and(|at| now.saturating_duration_since(at) < plan.fresh);
                target.is_usable()
                    && !is_known
                    && !is_asked
                    && !call.has_tried(TargetKey(*index as u16))
            })
            .filter_map(|(index, target)| {
                let (_, score) = overview.judge(target, Wanted::Free)?;
                let score = score + self.get_distance(target) + get_jitter(jitter, index);
                Some((score, index))
            })
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        if candidates.is_empty() {
            return Asked::NobodyLeft;
        }
        candidates.truncate(usize::from(plan.fanout));
        let vms = match self.vms {
            0 | 1 => Self::CAUTIOUS_VMS,
            vms => f32::from(vms),
        };
        let per_second = f32::from(self.spec.probes_per_second) / vms;
        let granted = self.sampler.spend(now, per_second, candidates.len());
        for (_, index) in &candidates[..granted] {
            self.targets[*index].sampled_at = Some(now);
            out.push(Output::Sample {
                target: TargetKey(*index as u16),
            });
        }
        Asked::Targets(granted)
    }
}
