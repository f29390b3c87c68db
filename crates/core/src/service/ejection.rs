//! Passive detection of failing and slow targets.

use std::time::{Duration, Instant};

/// Why a target was ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EjectCause {
    Failures,
    Slow,
}

impl EjectCause {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Failures => "consecutive failures",
            Self::Slow => "answer times far above the service's",
        }
    }
}

/// Ejection state of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Active,
    Ejected { until: Instant },
    Trial,
}

/// Health of one target, derived only from the requests sent to it.
///
/// Health endpoints can report a failing target as healthy, so an ejected
/// target returns through single trial requests. The reasons of the thresholds
/// are in docs/decisions/0005-ejection.md.
#[derive(Debug)]
pub(crate) struct Health {
    state: State,
    failures: u16,
    slowness: f32,
    slowness_at: Option<Instant>,
    lateness: f32,
    backoff_step: u32,
    trial_answers: u16,
    returned_at: Option<Instant>,
}

impl Health {
    const MAX_FAILURES: u16 = 3;
    /// Cap on one sample, so that one straggler does not mark a target as slow.
    const MAX_SAMPLE_RATIO: f32 = 3.0;
    const SAMPLE_WEIGHT: f32 = 0.2;
    /// Time after which the slowness above 1 has decayed to half.
    const SLOWNESS_DECAY_TIME: Duration = Duration::from_secs(1);
    const LATE_WEIGHT: f32 = 0.25;
    /// Exceeded by five late attempts in a row; by chance one attempt in twenty is late.
    const MAX_LATENESS: f32 = 0.76;
    /// Multiple of the median answer time above which a trial has failed.
    const TRIAL_RATIO: f32 = 3.0;
    const BASE_EJECTION: Duration = Duration::from_secs(1);
    const MAX_BACKOFF_STEP: u32 = 5;
    const TRIAL_ANSWERS: u16 = 2;
    /// Time after a return from which a new ejection lasts `BASE_EJECTION` again.
    const BACKOFF_RESET_TIME: Duration = Duration::from_secs(60);

    pub(crate) fn new() -> Self {
        Self {
            state: State::Active,
            failures: 0,
            slowness: 1.0,
            slowness_at: None,
            lateness: 0.0,
            backoff_step: 0,
            trial_answers: 0,
            returned_at: None,
        }
    }

    pub(crate) fn is_active(&self) -> bool {
        self.state == State::Active
    }

    pub(crate) fn is_trial_due(&self, now: Instant) -> bool {
        matches!(self.state, State::Ejected { until } if until <= now)
    }

    /// Returns the recent answer times as a ratio to the median of their class.
    pub(crate) fn get_slowness(&self, now: Instant) -> f32 {
        let Some(at) = self.slowness_at else {
            return 1.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f32();
        1.0 + (self.slowness - 1.0) / (1.0 + age / Self::SLOWNESS_DECAY_TIME.as_secs_f32())
    }

    pub(crate) fn start_trial(&mut self) {
        self.state = State::Trial;
    }

    /// Records one answer time as a ratio to the median of its class.
    pub(crate) fn record_time(&mut self, now: Instant, ratio: f32) {
        let sample = ratio.min(Self::MAX_SAMPLE_RATIO);
        self.slowness = self.get_slowness(now);
        self.slowness += Self::SAMPLE_WEIGHT * (sample - self.slowness);
        self.slowness_at = Some(now);
    }

    /// Records whether an attempt exceeded the answer time from which it is late.
    pub(crate) fn record_lateness(&mut self, is_late: bool) {
        let sample = f32::from(u8::from(is_late));
        self.lateness += Self::LATE_WEIGHT * (sample - self.lateness);
    }

    /// Records a successful answer; returns true if an ejected target is active again.
    pub(crate) fn record_success(&mut self, now: Instant, ratio: f32) -> bool {
        self.failures = 0;
        if self.is_active() {
            return false;
        }
        if ratio > Self::TRIAL_RATIO {
            self.extend_ejection(now);
            return false;
        }
        self.trial_answers += 1;
        if self.trial_answers < Self::TRIAL_ANSWERS {
            self.state = State::Ejected { until: now };
            return false;
        }
        self.state = State::Active;
        self.slowness = 1.0;
        self.lateness = 0.0;
        self.returned_at = Some(now);
        true
    }

    /// Records a failure; returns a cause if the target has to be ejected.
    pub(crate) fn record_failure(&mut self, now: Instant) -> Option<EjectCause> {
        self.failures = self.failures.saturating_add(1);
        if !self.is_active() {
            self.extend_ejection(now);
            return None;
        }
        (self.failures >= Self::MAX_FAILURES).then_some(EjectCause::Failures)
    }

    /// Returns a cause if the share of late attempts requires an ejection.
    pub(crate) fn check_lateness(&self) -> Option<EjectCause> {
        let is_slow = self.lateness > Self::MAX_LATENESS;
        (self.is_active() && is_slow).then_some(EjectCause::Slow)
    }

    pub(crate) fn eject(&mut self, now: Instant) {
        let is_backoff_reset = self
            .returned_at
            .is_none_or(|at| now.saturating_duration_since(at) > Self::BACKOFF_RESET_TIME);
        if is_backoff_reset {
            self.backoff_step = 0;
        }
        self.extend_ejection(now);
    }

    /// Ends a trial without an answer or a failure; the next trial is due at once.
    pub(crate) fn abandon_trial(&mut self, now: Instant) {
        if self.state == State::Trial {
            self.state = State::Ejected { until: now };
        }
    }

    fn extend_ejection(&mut self, now: Instant) {
        let factor = 1 << self.backoff_step.min(Self::MAX_BACKOFF_STEP);
        self.backoff_step += 1;
        self.trial_answers = 0;
        self.state = State::Ejected {
            until: now + Self::BASE_EJECTION * factor,
        };
    }
}
