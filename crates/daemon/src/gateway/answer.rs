//! Answers to callers: forwarded from a target, or refusals by this daemon.

use super::activity::{Activity, AnswerWatch};
use super::connections::Connection;
use super::memory::Reservation;
use crate::caller::headers::{CODE, RUN, copy_end_to_end};
use crate::service::ServiceHandle;
use bytes::Bytes;
use gentianridge_core::{AttemptKey, ResultCode};
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::time::Sleep;

/// An answer received from a target.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    headers: HeaderMap,
    body: AnswerBody,
}

impl Answer {
    pub(crate) fn new(status: StatusCode, headers: HeaderMap, body: AnswerBody) -> Self {
        Self {
            status,
            headers,
            body,
        }
    }

    /// Converts the answer into the response to the caller.
    ///
    /// `slot` is freed when the target has sent all of it, so that a caller who does not
    /// read occupies no slot of a target that is done.
    pub(crate) fn into_response(
        mut self,
        slot: SlotGuard,
        activity: &Rc<Activity>,
    ) -> Response<AnswerBody> {
        let deadline = self.body.rest.as_ref().map(|rest| rest.ends_at);
        self.body.slot = Some(slot).filter(|_| deadline.is_some());
        self.body.watch = Some(activity.watch_answer(deadline));
        let mut response = Response::new(self.body);
        *response.status_mut() = self.status;
        copy_end_to_end(&self.headers, response.headers_mut());
        response
    }
}

/// Frees the slot of a delivered attempt when it is dropped.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    pub(crate) service: Arc<ServiceHandle>,
    pub(crate) attempt: AttemptKey,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.service.finished(self.attempt);
    }
}

/// Body of an answer: buffered chunks, then the unread rest of a long body.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    chunks: VecDeque<Bytes>,
    rest: Option<StreamedRest>,
    slot: Option<SlotGuard>,
    /// Memory of the buffered chunks.
    _memory: Option<Reservation>,
    watch: Option<AnswerWatch>,
}

/// The unread rest of a long body, with the connection that it arrives on.
#[derive(Debug)]
struct StreamedRest {
    body: Incoming,
    /// Closed with the rest: a body that is not read to its end cannot be skipped.
    connection: Connection,
    /// Time at which the body is broken off, since a target may send without end.
    deadline: Pin<Box<Sleep>>,
    ends_at: Instant,
}

/// Size in bytes below which a forwarded part is copied. A smaller part may be all that is
/// left of a read buffer of the HTTP library, which it would keep alive until its caller has
/// taken it.
const MIN_SHARED_PART: usize = 4 * 1024;

/// Returns a part that keeps little more memory than its own size.
fn detach_part(part: Bytes) -> Bytes {
    if part.len() < MIN_SHARED_PART {
        Bytes::copy_from_slice(&part)
    } else {
        part
    }
}

impl AnswerBody {
    pub(crate) fn complete(chunks: Vec<Bytes>, memory: Reservation) -> Self {
        Self {
            _memory: Some(memory),
            ..Self::refusal(chunks)
        }
    }

    /// Creates the body of a refusal, which takes next to no memory.
    fn refusal(chunks: Vec<Bytes>) -> Self {
        Self {
            chunks: chunks.into(),
            rest: None,
            slot: None,
            _memory: None,
            watch: None,
        }
    }

    pub(crate) fn streamed(
        chunks: Vec<Bytes>,
        memory: Reservation,
        body: Incoming,
        connection: Connection,
        deadline: Instant,
    ) -> Self {
        let rest = StreamedRest {
            body,
            connection,
            deadline: Box::pin(tokio::time::sleep_until(deadline.into())),
            ends_at: deadline,
        };
        Self {
            rest: Some(rest),
            ..Self::complete(chunks, memory)
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(chunk) = self.chunks.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(None);
        };
        if rest.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        }
        let frame = ready!(Pin::new(&mut rest.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && frame.is_data()
        {
            rest.connection.record_body_part();
        }
        if frame.is_none() {
            self.rest = None;
            self.slot = None;
        }
        let frame = frame.map(|frame| frame.map(|frame| frame.map_data(detach_part)));
        Poll::Ready(frame.map(|frame| frame.map_err(io::Error::other)))
    }

    fn is_end_stream(&self) -> bool {
        self.chunks.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let buffered: u64 = self.chunks.iter().map(|chunk| chunk.len() as u64).sum();
        let rest = match &self.rest {
            Some(rest) => rest.body.size_hint(),
            None => SizeHint::with_exact(0),
        };
        let mut hint = SizeHint::new();
        hint.set_lower(buffered + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(buffered + upper);
        }
        hint
    }
}

/// Builds the answer for a refusal. `Retry-After` is set only for retryable
/// codes.
pub(crate) fn make_refusal(
    code: ResultCode,
    retry_after: Option<Duration>,
) -> Response<AnswerBody> {
    let status =
        StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let text = format!("{} {}\n", code.number(), code.text());
    let mut response = Response::new(AnswerBody::refusal(vec![text.into()]));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    headers.insert(CODE, HeaderValue::from(code.number()));
    headers.insert(RUN, HeaderValue::from_static(code.run_state().as_str()));
    if status == StatusCode::UNAUTHORIZED {
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    let retry_after = retry_after.filter(|_| code.is_retryable());
    if let Some(retry_after) = retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64()))
    {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}
