//! Activity of a caller's connection and its timeouts.

use super::callers::ShutdownStage;
use super::counted::ByteCounts;
use super::memory::{ConnectionMemory, Reservation};
use gentianridge_core::{CallerLimits, HolderPhase};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Kind of the timeout after which a caller's connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TimeoutKind {
    /// A request head was started and is incomplete after `header_timeout`.
    Head,
    /// No request was received within `idle_timeout`.
    Idle,
    /// The caller does not read its answer, or the answer has reached its deadline.
    Answer,
}

/// State shared by a connection's task and its requests.
///
/// hyper starts its header timeout at the end of the previous answer, which
/// would close idle connections after that timeout. Here the timeout starts at
/// the first byte of the head, which is detected by the byte counts of the
/// connection.
#[derive(Debug)]
pub(super) struct Activity {
    counts: Rc<ByteCounts>,
    memory: Rc<ConnectionMemory>,
    is_busy: Cell<bool>,
    is_reading: Cell<bool>,
    has_had_request: Cell<bool>,
    /// End of the last request, or the start of the connection.
    idle_since: Cell<Instant>,
    /// Bytes read up to `idle_since`.
    bytes_at_idle: Cell<u64>,
    head_started: Cell<Option<Instant>>,
    /// Memory of an unfinished head.
    head_memory: RefCell<Option<HeadMemory>>,
    answer: Cell<AnswerState>,
    /// Bytes moved and time at the last observation that saw the caller read.
    read_seen: Cell<(u64, Instant)>,
    /// Bytes moved in both directions at the last observation.
    moved: Cell<u64>,
}

/// Memory reserved for a head of up to `bytes` bytes.
#[derive(Debug)]
struct HeadMemory {
    bytes: u64,
    _reservation: Reservation,
}

/// What is known of the answer that is being written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerState {
    /// The HTTP library has taken all of it.
    Taken,
    /// Some of it is left, and it is broken off at the deadline, if there is one.
    Left(Option<Instant>),
}

/// Marks the answer as taken when it is dropped with the answer's body.
#[derive(Debug)]
pub(super) struct AnswerWatch {
    activity: Rc<Activity>,
}

impl Drop for AnswerWatch {
    fn drop(&mut self) {
        self.activity.answer.set(AnswerState::Taken);
    }
}

impl Activity {
    /// Time for the first request on a connection that was opened during a planned stop.
    const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
    /// Size in bytes up to which an unfinished head is part of the connection's own memory.
    const SMALL_HEAD: u64 = 4 * 1024;
    /// Multiple of its size that an unfinished head takes, since buffers grow by doubling.
    const HEAD_FACTOR: u64 = 2;

    pub(super) fn new(now: Instant, counts: Rc<ByteCounts>, memory: Rc<ConnectionMemory>) -> Self {
        Self {
            counts,
            memory,
            is_busy: Cell::new(false),
            is_reading: Cell::new(false),
            has_had_request: Cell::new(false),
            idle_since: Cell::new(now),
            bytes_at_idle: Cell::new(0),
            head_started: Cell::new(None),
            head_memory: RefCell::new(None),
            answer: Cell::new(AnswerState::Taken),
            read_seen: Cell::new((0, now)),
            moved: Cell::new(0),
        }
    }

    pub(super) fn get_memory(&self) -> &Rc<ConnectionMemory> {
        &self.memory
    }

    pub(super) fn is_busy(&self) -> bool {
        self.is_busy.get()
    }

    pub(super) fn start_request(&self) {
        self.is_busy.set(true);
        self.is_reading.set(true);
        self.has_had_request.set(true);
        self.head_memory.take();
    }

    /// Records that the body was read, as far as it is held.
    pub(super) fn end_reading(&self) {
        self.is_reading.set(false);
    }

    pub(super) fn end_request(&self, now: Instant) {
        self.is_busy.set(false);
        self.is_reading.set(false);
        self.idle_since.set(now);
        self.bytes_at_idle.set(self.counts.get_read());
        self.head_started.set(None);
    }

    /// Records that an answer is to be written; one that is forwarded as it arrives is
    /// broken off at its deadline, also if the caller does not read.
    pub(super) fn watch_answer(self: &Rc<Self>, deadline: Option<Instant>) -> AnswerWatch {
        self.answer.set(AnswerState::Left(deadline));
        AnswerWatch {
            activity: self.clone(),
        }
    }

    /// Updates the account of the connection; returns false if there is no memory for its
    /// unfinished head.
    pub(super) fn update_memory(&self, now: Instant) -> bool {
        let moved = self.counts.get_read() + self.counts.get_written();
        let before = self.moved.replace(moved);
        if moved > before {
            self.memory.record_progress(moved - before);
        }
        let (seen, _) = self.read_seen.get();
        let written = self.counts.get_written();
        if written > seen || !self.counts.is_write_blocked() {
            self.read_seen.set((written, now));
        }
        self.memory.enter(self.get_phase());
        self.is_busy() || self.reserve_head()
    }

    fn get_phase(&self) -> HolderPhase {
        if self.is_busy() {
            if self.is_reading.get() {
                HolderPhase::Receiving
            } else {
                HolderPhase::Serving
            }
        } else if self.counts.is_write_blocked() {
            HolderPhase::Answering
        } else if self.answer.get() != AnswerState::Taken {
            HolderPhase::Serving
        } else if self.has_started_head() {
            HolderPhase::Receiving
        } else {
            HolderPhase::Idle
        }
    }

    fn has_started_head(&self) -> bool {
        self.counts.get_read() != self.bytes_at_idle.get()
    }

    /// Reserves the memory of an unfinished head, in doubling steps.
    fn reserve_head(&self) -> bool {
        let size = self.counts.get_read() - self.bytes_at_idle.get();
        let mut held = self.head_memory.borrow_mut();
        let reserved = held.as_ref().map_or(Self::SMALL_HEAD, |head| head.bytes);
        if size <= reserved {
            return true;
        }
        // The earlier reservation is given back first: the new one includes it.
        held.take();
        let bytes = size.next_power_of_two();
        let reservation = self
            .memory
            .reserve_now((bytes * Self::HEAD_FACTOR) as usize);
        *held = reservation.map(|reservation| HeadMemory {
            bytes,
            _reservation: reservation,
        });
        held.is_some()
    }

    /// Returns the time for which the connection may be idle.
    ///
    /// During a planned stop a new connection stays open for its first request, which
    /// the caller sends on the assumption that it will be answered.
    fn get_idle_limit(&self, limits: CallerLimits, stage: ShutdownStage) -> Duration {
        match stage {
            ShutdownStage::KeepOpen | ShutdownStage::CloseAfterAnswer => limits.idle_timeout,
            ShutdownStage::CloseIdle | ShutdownStage::CloseListener => {
                if self.has_had_request.get() {
                    Duration::ZERO
                } else {
                    Self::FIRST_REQUEST_TIMEOUT
                }
            }
        }
    }

    /// Returns the timeout that applies and when it expires, `None` while a
    /// request is under way.
    pub(super) fn get_timeout(
        &self,
        now: Instant,
        limits: CallerLimits,
        stage: ShutdownStage,
    ) -> Option<(TimeoutKind, Instant)> {
        if self.is_busy() {
            return None;
        }
        if !self.has_started_head() {
            return Some((
                TimeoutKind::Idle,
                self.idle_since.get() + self.get_idle_limit(limits, stage),
            ));
        }
        let started = self.head_started.get().unwrap_or(now);
        self.head_started.set(Some(started));
        Some((TimeoutKind::Head, started + limits.header_timeout))
    }

    /// Returns when the connection is closed because its caller does not read the answer.
    pub(super) fn get_answer_timeout(&self, idle: Duration) -> Option<(TimeoutKind, Instant)> {
        if self.is_busy() || !self.counts.is_write_blocked() {
            return None;
        }
        let (_, read_at) = self.read_seen.get();
        let stalled = read_at + idle;
        let at = match self.answer.get() {
            AnswerState::Left(Some(deadline)) => deadline.min(stalled),
            AnswerState::Left(None) | AnswerState::Taken => stalled,
        };
        Some((TimeoutKind::Answer, at))
    }
}
