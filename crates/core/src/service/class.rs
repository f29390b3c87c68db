//! State of one class: its queue, its hedge checks and its answer times.

use super::admission::{Patience, Rank};
use super::answer_times::AnswerTimes;
use super::{AttemptKey, CallKey};
use crate::ClassSpec;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A call in the queue, which is ordered by rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QueueEntry {
    pub(crate) rank: Rank,
    /// Time until which an answer is useful.
    pub(crate) due: Instant,
    pub(crate) call: CallKey,
}

/// An attempt that is to be checked for a hedge.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HedgeCheck {
    pub(crate) started: Instant,
    pub(crate) attempt: AttemptKey,
    /// Rounds of load requests made to find a target for the hedge.
    pub(crate) rounds: u8,
}

/// Queue and answer times of one class.
#[derive(Debug)]
pub(crate) struct Class {
    pub(crate) spec: ClassSpec,
    pub(crate) answer_times: AnswerTimes,
    pub(crate) patience: Patience,
    pub(crate) hedge_checks: VecDeque<HedgeCheck>,
    /// Checks that wait for load samples, ordered by the time at which they are repeated.
    pub(crate) hedge_rechecks: VecDeque<(Instant, HedgeCheck)>,
    waiting: VecDeque<QueueEntry>,
    /// Time before which no waiting call is due; it may be too early after a removal.
    first_due: Option<Instant>,
}

impl Class {
    pub(crate) fn new(spec: ClassSpec) -> Self {
        Self {
            answer_times: AnswerTimes::new(initial_time(&spec)),
            spec,
            hedge_checks: VecDeque::new(),
            hedge_rechecks: VecDeque::new(),
            patience: Patience::default(),
            waiting: VecDeque::new(),
            first_due: None,
        }
    }

    /// Expected answer time, used to decide whether an answer can come in time.
    ///
    /// The 95th percentile against a deadline, which nearly all answers have to
    /// meet; the median against an objective, which is worth an attempt if half
    /// of the answers meet it.
    pub(crate) fn get_expected_time(&self) -> Duration {
        match self.spec.objective {
            Some(_) => self.answer_times.get_median(),
            None => self.answer_times.get_p95(),
        }
    }

    /// Returns the rank of a first attempt that arrives now.
    pub(crate) fn get_next_rank(&self, now: Instant) -> Rank {
        Rank::of_next(now, self.spec.get_objective(), self.get_expected_time())
    }

    /// Expected answer time of a call that waits behind others, where more calls come than
    /// can be served.
    ///
    /// With an objective, the wait may use up half of what the objective leaves over the
    /// median. The slots are in use either way, and the other half is the room for answers
    /// that take longer: an answer that comes late took its slot from one in time.
    pub(crate) fn get_queued_time(&self) -> Duration {
        let expected = self.get_expected_time();
        match self.spec.objective {
            Some(objective) => expected.max((objective + expected) / 2),
            None => expected,
        }
    }

    /// Time after which an attempt counts as late.
    ///
    /// With an objective, a hedge is useful only if it can still meet it, so the
    /// attempt is late one median answer time before the objective, but not
    /// before 1.5 times the median, when most answers have arrived.
    pub(crate) fn get_late_time(&self) -> Duration {
        let (median, p95) = (self.answer_times.get_median(), self.answer_times.get_p95());
        match self.spec.objective {
            Some(objective) => p95.min(objective.saturating_sub(median).max(median * 3 / 2)),
            None => p95,
        }
    }

    /// Returns the time of the next hedge check.
    pub(crate) fn next_check_at(&self) -> Option<Instant> {
        let check = self.hedge_checks.front();
        let first = check.map(|check| check.started + self.get_late_time());
        let recheck = self.hedge_rechecks.front().map(|(at, _)| *at);
        first.into_iter().chain(recheck).min()
    }

    /// Removes and returns the next hedge check that is due.
    pub(crate) fn pop_due_check(&mut self, now: Instant) -> Option<HedgeCheck> {
        if self
            .hedge_rechecks
            .front()
            .is_some_and(|(at, _)| *at <= now)
        {
            return self.hedge_rechecks.pop_front().map(|(_, check)| check);
        }
        let late = self.get_late_time();
        let is_due = self
            .hedge_checks
            .front()
            .is_some_and(|check| check.started + late <= now);
        if is_due {
            self.hedge_checks.pop_front()
        } else {
            None
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.waiting.len() >= usize::from(self.spec.queue)
    }

    pub(crate) fn front(&self) -> Option<QueueEntry> {
        self.waiting.front().copied()
    }

    pub(crate) fn back(&self) -> Option<QueueEntry> {
        self.waiting.back().copied()
    }

    pub(crate) fn pop_front(&mut self) -> Option<QueueEntry> {
        self.waiting.pop_front()
    }

    /// Returns the number of waiting calls that go before a new one with the rank.
    pub(crate) fn count_before(&self, rank: Rank) -> usize {
        self.waiting.partition_point(|other| other.rank <= rank)
    }

    /// Returns a time before which no waiting call is due, `None` if none waits.
    pub(crate) fn get_first_due(&self) -> Option<Instant> {
        self.first_due.filter(|_| !self.waiting.is_empty())
    }

    /// Removes and returns a call that is due at the time or earlier.
    pub(crate) fn pop_due(&mut self, at: Instant) -> Option<QueueEntry> {
        if self.get_first_due().is_none_or(|due| due > at) {
            return None;
        }
        let found = self.waiting.iter().position(|entry| entry.due <= at);
        match found {
            Some(index) => self.waiting.remove(index),
            None => {
                self.first_due = self.waiting.iter().map(|entry| entry.due).min();
                None
            }
        }
    }

    pub(crate) fn insert(&mut self, entry: QueueEntry) {
        let due = entry.due;
        self.first_due = Some(self.get_first_due().map_or(due, |first| first.min(due)));
        let at = self
            .waiting
            .partition_point(|other| other.rank <= entry.rank);
        self.waiting.insert(at, entry);
    }

    pub(crate) fn remove(&mut self, rank: Rank, call: CallKey) -> bool {
        let start = self.waiting.partition_point(|other| other.rank < rank);
        let found = self
            .waiting
            .range(start..)
            .take_while(|other| other.rank == rank)
            .position(|other| other.call == call);
        match found {
            Some(offset) => self.waiting.remove(start + offset).is_some(),
            None => false,
        }
    }
}

/// Answer time assumed until enough answers were recorded.
///
/// A third of the objective, since a typical answer is expected well within it.
fn initial_time(spec: &ClassSpec) -> Duration {
    spec.objective
        .map_or(AnswerTimes::INITIAL, |objective| objective / 3)
}
