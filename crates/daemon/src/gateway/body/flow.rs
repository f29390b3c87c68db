//! A body that is forwarded as it arrives.

use super::held::HeldBody;
use super::pace::BodyPace;
use crate::gateway::memory::FlowPermit;
use bytes::Bytes;
use gentianridge_core::Clock;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::time::{Sleep, timeout_at};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// How much of a flow has been taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FlowState {
    /// Nothing was taken by an attempt.
    Waiting,
    /// An attempt takes it.
    Flowing,
    /// It was taken to its end.
    Complete,
    /// The caller broke it off, was too slow or too large, or had to give way.
    Broken,
}

/// The rest of a body behind the part that was read, with one reader.
///
/// It is taken from the caller only as fast as the target takes it.
#[derive(Debug)]
pub(crate) struct Flow {
    start: HeldBody,
    /// Length of the whole body, if the caller stated it.
    length: Option<u64>,
    max_length: u64,
    state: Cell<FlowState>,
    parts: RefCell<FlowParts>,
    clock: Arc<dyn Clock>,
    _permit: FlowPermit,
}

#[derive(Debug)]
struct FlowParts {
    /// Number of blocks of the start that were taken.
    next: usize,
    /// `None` once the flow has ended or the rest is discarded.
    rest: Option<Incoming>,
    taken: u64,
    pace: BodyPace,
    stalled: Pin<Box<Sleep>>,
    evicted: Pin<Box<WaitForCancellationFutureOwned>>,
}

/// What a flow consists of when it starts.
pub(super) struct FlowStart {
    pub(super) start: HeldBody,
    pub(super) rest: Incoming,
    pub(super) length: Option<u64>,
    pub(super) max_length: u64,
    pub(super) pace: BodyPace,
    pub(super) permit: FlowPermit,
    pub(super) evicted: CancellationToken,
    pub(super) clock: Arc<dyn Clock>,
}

impl Flow {
    /// Longest time for which the rest of a body is read and discarded after an early answer.
    /// A connection that is closed with unread bytes is reset, which can destroy the answer.
    const DISCARD_TIME: Duration = Duration::from_secs(2);

    pub(super) fn new(start: FlowStart) -> Self {
        let due = start.pace.get_due(start.clock.now());
        Self {
            parts: RefCell::new(FlowParts {
                next: 0,
                rest: Some(start.rest),
                taken: 0,
                pace: start.pace,
                stalled: Box::pin(tokio::time::sleep_until(due.into())),
                evicted: Box::pin(start.evicted.cancelled_owned()),
            }),
            start: start.start,
            length: start.length,
            max_length: start.max_length,
            state: Cell::new(FlowState::Waiting),
            clock: start.clock,
            _permit: start.permit,
        }
    }

    /// Returns the part of the body that was read before the flow started.
    pub(crate) fn get_start(&self) -> &HeldBody {
        &self.start
    }

    /// Returns the length of the whole body, if the caller stated it.
    pub(crate) fn get_length(&self) -> Option<u64> {
        self.length
    }

    /// Returns true if the caller is the reason for which the flow ended early.
    pub(crate) fn is_broken(&self) -> bool {
        self.state.get() == FlowState::Broken
    }

    /// Reads and discards what the target has not taken.
    pub(crate) async fn discard(&self) {
        let rest = self.parts.borrow_mut().rest.take();
        let Some(mut rest) = rest else {
            return;
        };
        let until: Instant = self.clock.now() + Self::DISCARD_TIME;
        while let Ok(Some(Ok(_))) = timeout_at(until.into(), rest.frame()).await {}
    }

    /// Takes the next part of the body.
    pub(super) fn poll_part(
        &self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.state.get() {
            FlowState::Waiting => self.restart_pace(),
            FlowState::Flowing => {}
            FlowState::Complete => return Poll::Ready(None),
            FlowState::Broken => return Poll::Ready(Some(Err(io::ErrorKind::BrokenPipe.into()))),
        }
        let result = ready!(self.poll_next(cx));
        match &result {
            Some(Ok(_)) => {}
            Some(Err(error)) => {
                log::debug!("a forwarded body ended early: {error}");
                self.state.set(FlowState::Broken);
                self.parts.borrow_mut().rest = None;
            }
            None => {
                self.state.set(FlowState::Complete);
                self.parts.borrow_mut().rest = None;
            }
        }
        Poll::Ready(result)
    }

    /// Starts to measure the pace: while the request waited for a target, the caller had to
    /// wait too.
    fn restart_pace(&self) {
        self.state.set(FlowState::Flowing);
        let now = self.clock.now();
        let mut parts = self.parts.borrow_mut();
        parts.pace.restart(now);
        let due = parts.pace.get_due(now);
        parts.stalled.as_mut().reset(due.into());
    }

    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let mut parts = self.parts.borrow_mut();
        if let Some(block) = self.start.get_blocks().get(parts.next) {
            parts.next += 1;
            parts.taken += block.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(block.clone()))));
        }
        if parts.evicted.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(io::ErrorKind::OutOfMemory.into())));
        }
        let Some(rest) = &mut parts.rest else {
            return Poll::Ready(Some(Err(io::ErrorKind::BrokenPipe.into())));
        };
        let Poll::Ready(frame) = Pin::new(rest).poll_frame(cx) else {
            ready!(parts.stalled.as_mut().poll(cx));
            return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        };
        let Some(frame) = frame else {
            return Poll::Ready(None);
        };
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => return Poll::Ready(Some(Err(io::Error::other(error)))),
        };
        // Trailers are not forwarded, as with a held body.
        let data = frame.into_data().unwrap_or_default();
        let size = data.len();
        parts.taken += size as u64;
        if parts.taken > self.max_length {
            return Poll::Ready(Some(Err(io::ErrorKind::FileTooLarge.into())));
        }
        parts.pace.record(size);
        let due = parts.pace.get_due(self.clock.now());
        parts.stalled.as_mut().reset(due.into());
        Poll::Ready(Some(Ok(Frame::data(data))))
    }
}
