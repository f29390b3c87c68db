//! Load requests to targets just before a call is dispatched.
//!
//! On shared machines the relative work time of a target changes many times a
//! second, and the value at the start of a request applies until its end. Load
//! reports of earlier answers are too old to use, so load requests are sent to a
//! few targets. The costs are in docs/decisions/0015-sampling.md.

use super::class::{Class, HedgeCheck};
use super::pick::get_jitter;
use super::records::{Call, CallState};
use super::{CallKey, ClassKey, Output, Service, TargetKey};
use crate::Sampling;
use rand::Rng;
use std::time::{Duration, Instant};

/// Mean relative work time of all targets, and the budget for load requests.
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
    /// Longest time whose unused load requests are kept. The bound of the platform holds
    /// over a day, and the requests of few callers come in bunches.
    const SAVED_TIME: Duration = Duration::from_secs(10);

    /// Records the relative work time of one report.
    pub(super) fn record_work_time(&mut self, percent: u16) {
        self.mean_work_time +=
            Self::WORK_TIME_WEIGHT * (f32::from(percent) / 100.0 - self.mean_work_time);
    }

    /// Consumes up to `wanted` load requests from the budget and returns their number.
    ///
    /// The budget holds at most the load requests of `SAVED_TIME`. While it holds less than
    /// those of a second, targets are asked one after the other: most of the time the first
    /// one has a usual work time, and the others would be asked in vain.
    fn consume(&mut self, now: Instant, per_second: f32, wanted: usize) -> usize {
        let passed = self.refilled.map_or(Duration::from_secs(1), |at| {
            now.saturating_duration_since(at)
        });
        self.refilled = Some(now);
        let most = per_second * Self::SAVED_TIME.as_secs_f32();
        self.tokens = (self.tokens + per_second * passed.as_secs_f32()).min(most);
        let wanted = if self.tokens < per_second {
            wanted.min(1)
        } else {
            wanted
        };
        let granted = wanted.min(self.tokens as usize);
        self.tokens -= granted as f32;
        granted
    }
}

/// Best relative work time among the targets with capacity, from worst to best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum BestWorkTime {
    /// No target has capacity.
    NoCapacity,
    /// Every target with capacity has a fresh report above `GOOD_WORK_TIME`.
    Slow,
    /// Some target with capacity has no fresh report.
    Unknown,
    /// Some target with capacity has a fresh report without a work time above
    /// `GOOD_WORK_TIME`.
    Good,
}

/// Result of a round of load requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestRound {
    /// Number of load requests sent; 0 if the budget is exhausted.
    Sent(usize),
    /// Every target with capacity has a fresh report or a recent load request.
    NoCandidates,
}

impl Service {
    /// Relative work time up to which a request is dispatched without further load
    /// requests.
    const GOOD_WORK_TIME: f32 = 1.5;
    /// Rounds of load requests for one call; after them it is dispatched to the best target.
    const MAX_ROUNDS: u8 = 12;
    /// Rounds of load requests for one hedge.
    const HEDGE_ROUNDS: u8 = 2;
    /// Time between two load requests of this VM to a target that may be cold, so that the
    /// requests of many VMs do not add to its work.
    const SUSPECT_PAUSE: Duration = Duration::from_millis(250);
    /// VMs assumed while no other VM is in the live list.
    const ASSUMED_VMS: f32 = 50.0;

    /// Returns true if a waiting call can be dispatched now; otherwise load requests
    /// are in flight, or the call waits for a target with a lower work time.
    ///
    /// Work that starts on a slow machine occupies its slot for several times the
    /// usual time and is answered late. At peak load the slot serves more
    /// calls if it is used after the work time has changed.
    pub(super) fn try_finish_sampling(
        &mut self,
        now: Instant,
        key: CallKey,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(config) = self.spec.sampling else {
            return true;
        };
        let best = self.find_best_work_time(now, config, &self.calls[key]);
        match best {
            BestWorkTime::Good => return true,
            BestWorkTime::NoCapacity => return false,
            BestWorkTime::Slow | BestWorkTime::Unknown => {}
        }
        let state = self.calls[key].sampling;
        let is_pending = state.until.is_some_and(|until| now < until);
        if is_pending && (self.count_unanswered(now, config) > 0 || state.is_paused) {
            return false;
        }
        let has_time = self.has_time_for_round(now, config, key);
        if state.rounds >= Self::MAX_ROUNDS || !has_time {
            return has_time || self.is_blind_send_useful(now, key);
        }
        let round = self.send_load_requests(now, config, key, out);
        let is_unanswered =
            best == BestWorkTime::Unknown && self.count_unanswered(now, config) == 0;
        if round == RequestRound::NoCandidates && is_unanswered {
            // Targets that did not answer the load request in time may still work.
            return true;
        }
        if round == RequestRound::Sent(0) && is_unanswered && self.is_blind_send_useful(now, key) {
            // Without budget nothing is learned by a wait, and an unknown target is usual
            // more often than slow.
            return true;
        }
        // If no load request could be sent, the work times may still change.
        let is_paused = matches!(round, RequestRound::NoCandidates | RequestRound::Sent(0));
        let pause = if is_paused {
            config.fresh / 2
        } else {
            config.wait
        };
        let sampling = &mut self.calls[key].sampling;
        sampling.rounds += 1;
        sampling.until = Some(now + pause);
        sampling.is_paused = is_paused;
        false
    }

    /// Relative work time assumed for a target without a fresh report.
    ///
    /// It exceeds the combined score of a good work time, another domain and a
    /// nearly full target, since work on an unsampled target may take several times
    /// as long.
    const UNKNOWN_WORK_TIME: f32 = 3.0;

    /// Returns the relative work time that is expected of a target without a fresh
    /// report.
    pub(super) fn get_unknown_work_time(&self) -> f32 {
        match self.spec.sampling {
            Some(_) => self.sampler.mean_work_time.max(Self::UNKNOWN_WORK_TIME),
            None => 1.0,
        }
    }

    /// Sends load requests before a hedge, which is worth its cost only on a target
    /// with a good work time; returns true if the hedge waits for the samples.
    pub(super) fn request_hedge_samples(
        &mut self,
        now: Instant,
        class: ClassKey,
        key: CallKey,
        check: HedgeCheck,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(config) = self.spec.sampling else {
            return false;
        };
        let is_done = check.rounds >= Self::HEDGE_ROUNDS
            || matches!(
                self.find_best_work_time(now, config, &self.calls[key]),
                BestWorkTime::Good | BestWorkTime::NoCapacity
            );
        if is_done
            || !matches!(
                self.send_load_requests(now, config, key, out),
                RequestRound::Sent(1..)
            )
        {
            return false;
        }
        let recheck = HedgeCheck {
            rounds: check.rounds + 1,
            ..check
        };
        self.classes[class]
            .hedge_rechecks
            .push_back((now + config.wait, recheck));
        true
    }

    /// Returns the time at which the first waiting call of a class stops waiting for
    /// load samples.
    pub(super) fn next_sample_wait_end(&self, now: Instant, class: &Class) -> Option<Instant> {
        let front = class.front()?;
        let until = self.calls.get(front.call)?.sampling.until?;
        (until > now).then_some(until)
    }

    /// Returns true if a send to a target of unknown load is better than a further wait.
    ///
    /// Without other waiting calls, a late answer is better than an idle slot. While calls
    /// are turned away there are no idle slots, and such a send would queue at a full
    /// target; it is made only if this VM uses less than its share.
    pub(super) fn is_blind_send_useful(&self, now: Instant, key: CallKey) -> bool {
        let class = &self.classes[self.calls[key].class];
        self.count_waiting() <= 1 && !self.is_short_of_room(now, class)
    }

    /// Returns the best relative work time among the targets with capacity for the call.
    pub(super) fn find_best_work_time(
        &self,
        now: Instant,
        config: Sampling,
        call: &Call,
    ) -> BestWorkTime {
        let context = self.make_scoring_context(now);
        let mut best = BestWorkTime::NoCapacity;
        for (index, target) in self.targets.iter().enumerate() {
            let is_candidate = target.is_usable()
                && !call.has_tried(TargetKey::from_index(index))
                && context.score_for_sample(target).is_some();
            if !is_candidate {
                continue;
            }
            let is_open = target.cold.is_open(now);
            let found = match target.get_report(now, config.fresh).filter(|_| is_open) {
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

    /// Returns the number of targets whose answer to a load request may still arrive in time.
    fn count_unanswered(&self, now: Instant, config: Sampling) -> usize {
        self.targets
            .iter()
            .filter(|target| {
                target.sampled_at.is_some_and(|sent_at| {
                    let is_answered = target.report.is_some_and(|(_, at)| at >= sent_at);
                    !is_answered && now.saturating_duration_since(sent_at) < config.wait
                })
            })
            .count()
    }

    /// Returns true if another round of load requests leaves time for the work itself.
    fn has_time_for_round(&self, now: Instant, config: Sampling, key: CallKey) -> bool {
        let call = &self.calls[key];
        let answer_times = &self.classes[call.class].answer_times;
        call.state == CallState::Waiting
            && now + config.wait + answer_times.get_median() < call.useful_until
    }

    /// Sends load requests to the targets with the best scores among those without a fresh report.
    fn send_load_requests(
        &mut self,
        now: Instant,
        config: Sampling,
        key: CallKey,
        out: &mut Vec<Output>,
    ) -> RequestRound {
        let context = self.make_scoring_context(now);
        // Without jitter, VMs with equal state would send load requests to the same targets.
        let jitter = self.rng.next_u32();
        let call = &self.calls[key];
        let mut candidates: Vec<(f32, usize)> = self
            .targets
            .iter()
            .enumerate()
            .filter(|(index, target)| {
                let has_fresh_report = target.get_report(now, config.fresh).is_some();
                let is_open = target.cold.is_open(now);
                let pause = if is_open {
                    config.fresh
                } else {
                    Self::SUSPECT_PAUSE
                };
                let has_recent_request = target
                    .sampled_at
                    .is_some_and(|at| now.saturating_duration_since(at) < pause);
                target.is_usable()
                    && (!has_fresh_report || !is_open)
                    && !has_recent_request
                    && !call.has_tried(TargetKey::from_index(*index))
            })
            .filter_map(|(index, target)| {
                let (_, score) = context.score_for_sample(target)?;
                let score = score + self.get_affinity_penalty(target) + get_jitter(jitter, index);
                Some((score, index))
            })
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        if candidates.is_empty() {
            return RequestRound::NoCandidates;
        }
        candidates.truncate(usize::from(config.fanout));
        let vms = match self.vms {
            0 | 1 => Self::ASSUMED_VMS,
            vms => f32::from(vms),
        };
        let per_second = f32::from(self.spec.probes_per_second) / vms;
        let granted = self.sampler.consume(now, per_second, candidates.len());
        for (_, index) in &candidates[..granted] {
            self.targets[*index].sampled_at = Some(now);
            out.push(Output::Sample {
                target: TargetKey::from_index(*index),
            });
        }
        RequestRound::Sent(granted)
    }
}
