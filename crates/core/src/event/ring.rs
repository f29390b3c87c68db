//! Bounded buffer of the events of one VM.

use super::Event;
use crate::HybridTime;
use std::collections::VecDeque;

/// The newest events of one VM.
///
/// The oldest events are dropped and counted, so that memory is bounded and
/// readers can detect missing events.
#[derive(Debug)]
pub struct EventRing {
    events: VecDeque<Event>,
    capacity: usize,
    dropped: u64,
}

impl EventRing {
    /// Creates a ring for `capacity` events.
    pub fn new(capacity: usize) -> Self {
        Self {
            events: VecDeque::with_capacity(capacity),
            capacity,
            dropped: 0,
        }
    }

    /// Adds an event and drops the oldest one if the ring is full.
    pub fn push(&mut self, event: Event) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// Returns the events later than `since` in order.
    pub fn since(&self, since: HybridTime) -> impl Iterator<Item = &Event> {
        let start = self.events.partition_point(|event| event.at <= since);
        self.events.range(start..)
    }

    /// Returns the number of events dropped since the start.
    pub fn get_dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the number of events held.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns true if no event is held.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }
}
