//! Answers to callers: a target's own, or a refusal of this daemon.

use super::connections::Connection;
use crate::caller::headers::{CODE, RUN, copy_end_to_end};
use crate::service::ServiceHandle;
use bytes::Bytes;
use gentianridge_core::{AttemptKey, ResultCode};
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// A target's answer.
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

    /// Builds the answer for the caller; `slot` is freed when it ends.
    pub(crate) fn into_response(mut self, slot: SlotGuard) -> Response<AnswerBody> {
        self.body.slot = Some(slot);
        let mut response = Response::new(self.body);
        *response.status_mut() = self.status;
        copy_end_to_end(&self.headers, response.headers_mut());
        response
    }
}

/// Frees the slot of a delivered attempt when the answer ends.
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

/// Bytes of an answer that are here, and the rest of a long one.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    chunks: VecDeque<Bytes>,
    rest: Option<(Incoming, Connection)>,
    slot: Option<SlotGuard>,
}

impl AnswerBody {
    pub(crate) fn whole(chunks: Vec<Bytes>) -> Self {
        Self {
            chunks: chunks.into(),
            rest: None,
            slot: None,
        }
    }

    pub(crate) fn streamed(chunks: Vec<Bytes>, rest: Incoming, connection: Connection) -> Self {
        Self {
            chunks: chunks.into(),
            rest: Some((rest, connection)),
            slot: None,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(chunk) = self.chunks.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let Some((rest, _)) = &mut self.rest else {
            return Poll::Ready(None);
        };
        let frame = ready!(Pin::new(rest).poll_frame(cx));
        if frame.is_none() {
            self.rest = None;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.chunks.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let here: u64 = self.chunks.iter().map(|chunk| chunk.len() as u64).sum();
        let rest = match &self.rest {
            Some((rest, _)) => rest.size_hint(),
            None => SizeHint::with_exact(0),
        };
        let mut hint = SizeHint::new();
        hint.set_lower(here + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(here + upper);
        }
        hint
    }
}

/// Builds the answer of a refusal; `retry_after` only goes with a code whose
/// request may come back.
pub(crate) fn make_refusal(
    code: ResultCode,
    retry_after: Option<Duration>,
) -> Response<AnswerBody> {
    let status =
        StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let text = format!("{} {}\n", code.number(), code.text());
    let mut response = Response::new(AnswerBody::whole(vec![text.into()]));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    headers.insert(CODE, HeaderValue::from(code.number()));
    headers.insert(RUN, HeaderValue::from_static(code.run_state().as_str()));
    let pause = retry_after.filter(|_| code.is_retryable());
    if let Some(pause) = pause
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", pause.as_secs_f64()))
    {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}
