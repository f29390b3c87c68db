//! State of one class: its queue and its usual times.

use super::usual::UsualTime;
use super::{AttemptKey, CallKey};
use crate::ClassSpec;
use std::collections::VecDeque;
use std::time::Instant;

/// A call in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Waiting {
    pub(crate) deadline: Instant,
    pub(crate) call: CallKey,
}

/// An attempt that is to be checked for a hedge.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HedgeCheck {
    pub(crate) started: Instant,
    pub(crate) attempt: AttemptKey,
}

/// Queue ordered by deadline, and what is known about answer times.
#[derive(Debug)]
pub(crate) struct Class {
    pub(crate) spec: ClassSpec,
    pub(crate) usual: UsualTime,
    pub(crate) hedge_checks: VecDeque<HedgeCheck>,
    waiting: VecDeque<Waiting>,
}

impl Class {
    pub(crate) fn new(spec: ClassSpec) -> Self {
        Self {
            spec,
            usual: UsualTime::new(),
            hedge_checks: VecDeque::new(),
            waiting: VecDeque::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.waiting.len() >= usize::from(self.spec.queue)
    }

    pub(crate) fn front(&self) -> Option<Waiting> {
        self.waiting.front().copied()
    }

    pub(crate) fn pop_front(&mut self) -> Option<Waiting> {
        self.waiting.pop_front()
    }

    pub(crate) fn insert(&mut self, entry: Waiting) {
        let at = self
            .waiting
            .partition_point(|other| other.deadline <= entry.deadline);
        self.waiting.insert(at, entry);
    }

    pub(crate) fn remove(&mut self, entry: Waiting) -> bool {
        let start = self
            .waiting
            .partition_point(|other| other.deadline < entry.deadline);
        let found = self
            .waiting
            .range(start..)
            .take_while(|other| other.deadline == entry.deadline)
            .position(|other| other.call == entry.call);
        match found {
            Some(offset) => self.waiting.remove(start + offset).is_some(),
            None => false,
        }
    }
}
