//! Calls and attempts of a service.

use super::admission::{Rank, Turn};
use super::stop::StopLimit;
use super::{Arrival, AttemptKey, AttemptKind, CallKey, ClassKey, TargetKey};
use crate::{ClassKind, ClassSpec, WorkspaceKey};
use std::time::{Duration, Instant};

/// Attempts that one call may make.
pub(crate) const MAX_ATTEMPTS: usize = ClassSpec::DEFAULT_MAX_ATTEMPTS as usize;

/// State of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallState {
    Waiting,
    Running,
}

/// Load requests sent for one waiting call.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SampleState {
    pub(crate) rounds: u8,
    /// Time until which the call waits for load samples.
    pub(crate) until: Option<Instant>,
    /// True if no load request could be sent and the call waits until the work
    /// times of targets have changed.
    pub(crate) is_paused: bool,
}

/// One call from its arrival until its answer or refusal.
#[derive(Debug)]
pub(crate) struct Call {
    /// Class whose queue and answer times the call uses.
    pub(crate) class: ClassKey,
    /// Whether the call may run more than once, as stated when it was routed. Repeats are
    /// decided by this copy alone, so that no change of the classes can turn a once-only
    /// call into one that is repeated.
    kind: ClassKind,
    pub(crate) deadline: Instant,
    /// Time until which an answer is useful and the call may stay in the queue.
    pub(crate) useful_until: Instant,
    /// True if the answer can no longer meet the latency objective of the class.
    pub(crate) is_late: bool,
    pub(crate) workspace: Option<WorkspaceKey>,
    /// Turn of the workspace at a full service.
    pub(crate) turn: Turn,
    /// Place in the queue while the call waits.
    pub(crate) rank: Option<Rank>,
    max_attempts: usize,
    pub(crate) is_replayable: bool,
    pub(crate) state: CallState,
    pub(crate) may_have_run: bool,
    /// Time after which no attempt is started: the deadline, or an earlier time if the
    /// stop of the VM ends the call.
    pub(crate) starts_until: Instant,
    pub(crate) running: [Option<AttemptKey>; 2],
    pub(crate) sampling: SampleState,
    /// Attempts that were withdrawn before the send.
    pub(crate) withdrawals: u8,
    tried: [Option<TargetKey>; MAX_ATTEMPTS],
}

impl Call {
    pub(crate) fn new(
        arrival: Arrival,
        class: ClassKey,
        useful_until: Instant,
        max_attempts: u8,
    ) -> Self {
        Self {
            class,
            kind: arrival.kind,
            deadline: arrival.deadline,
            useful_until,
            is_late: false,
            workspace: arrival.workspace,
            turn: Turn::default(),
            rank: None,
            max_attempts: usize::from(max_attempts).min(MAX_ATTEMPTS),
            is_replayable: arrival.is_replayable,
            state: CallState::Waiting,
            may_have_run: false,
            starts_until: arrival.deadline,
            running: [None; 2],
            sampling: SampleState::default(),
            withdrawals: 0,
            tried: [None; MAX_ATTEMPTS],
        }
    }

    /// Returns the place of the call among the waiting ones of its priority, for work that
    /// usually takes this long.
    pub(crate) fn make_rank(&self, work: Duration) -> Rank {
        let useful_until = self.useful_until;
        Rank {
            is_late: self.is_late,
            turn: self.turn.start,
            start_by: useful_until.checked_sub(work).unwrap_or(useful_until),
        }
    }

    /// Moves the deadline and the time in the queue to those of a planned stop.
    pub(super) fn limit_to_stop(&mut self, limit: StopLimit) {
        self.deadline = limit.end;
        self.starts_until = limit.starts_until;
        self.useful_until = self.useful_until.min(limit.useful_until);
    }

    /// Returns true if the stop of the VM ends the call before its own deadline.
    pub(crate) fn is_cut_short(&self) -> bool {
        self.starts_until < self.deadline
    }

    /// Returns true if the call may be sent again after the attempts made so far.
    pub(crate) fn is_repeatable(&self) -> bool {
        let is_safe = !self.may_have_run || self.kind.is_idempotent();
        is_safe && self.is_replayable && self.has_attempts_left()
    }

    /// Returns true if the call may run on two targets at the same time.
    pub(crate) fn is_hedgeable(&self, now: Instant) -> bool {
        self.kind == ClassKind::Interactive
            && self.is_replayable
            && self.count_running() == 1
            && self.has_attempts_left()
            && now < self.starts_until
    }

    pub(crate) fn has_tried(&self, target: TargetKey) -> bool {
        self.tried.contains(&Some(target))
    }

    pub(crate) fn count_attempts(&self) -> usize {
        self.tried.iter().flatten().count()
    }

    pub(crate) fn has_attempts_left(&self) -> bool {
        self.count_attempts() < self.max_attempts
    }

    pub(crate) fn count_running(&self) -> usize {
        self.running.iter().flatten().count()
    }

    pub(crate) fn start(&mut self, attempt: AttemptKey, target: TargetKey) {
        if let Some(slot) = self.tried.iter_mut().find(|slot| slot.is_none()) {
            *slot = Some(target);
        }
        if let Some(slot) = self.running.iter_mut().find(|slot| slot.is_none()) {
            *slot = Some(attempt);
        }
        self.state = CallState::Running;
    }

    /// Removes an attempt on a target to which nothing was sent.
    pub(crate) fn forget_attempt(&mut self, target: TargetKey) {
        let last = self
            .tried
            .iter_mut()
            .rev()
            .find(|slot| **slot == Some(target));
        if let Some(slot) = last {
            *slot = None;
        }
    }

    pub(crate) fn stop(&mut self, attempt: AttemptKey) {
        for slot in &mut self.running {
            if *slot == Some(attempt) {
                *slot = None;
            }
        }
    }
}

/// One attempt of a call on one target.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) call: CallKey,
    pub(crate) class: ClassKey,
    pub(crate) target: TargetKey,
    pub(crate) kind: AttemptKind,
    pub(crate) started: Instant,
    /// True once the answer has been forwarded to the caller.
    pub(crate) is_delivered: bool,
    /// True if the attempt counts as background work on its target.
    pub(crate) is_long: bool,
    /// True if the target was cold at the choice and a part of its rate was taken.
    pub(crate) has_cold_claim: bool,
}
