//! Answers of targets on their way to callers.

use super::call::{Delivered, SlotGuard};
use super::headers::{self, REQUEST_ID, RETRIED, VM};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use gentianridge_core::{RecordedAnswer, ResultCode};
use gentianridge_serve::{Connection, guard_body};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use poem::{Body, Response};
use std::io;
use std::time::Duration;

/// What is added to every answer.
pub(crate) struct AnswerHeaders<'a> {
    pub(crate) request: &'a str,
    pub(crate) vm: &'a str,
}

impl AnswerHeaders<'_> {
    fn write(&self, answer: &mut Response) {
        let is_failure = answer.status().is_server_error();
        let headers = answer.headers_mut();
        headers::set_text(headers, REQUEST_ID, self.request);
        headers::set_text(headers, VM, self.vm);
        if is_failure {
            // This level has retried as far as its budget allows, so a level
            // above must not, or retries would multiply over the levels.
            headers.insert(RETRIED, HeaderValue::from_static("1"));
        }
    }
}

/// Hands an answer on as it arrives.
///
/// If the target breaks off, the caller's connection breaks too, so a cut
/// answer never looks whole.
pub(crate) fn stream_answer(
    delivered: Delivered,
    silence: Duration,
    connection: Connection,
    answer_headers: &AnswerHeaders<'_>,
) -> Response {
    let Delivered { response, slot } = delivered;
    let mut answer = Response::default();
    answer.set_status(response.status());
    headers::copy_end_to_end(response.headers(), answer.headers_mut());
    answer_headers.write(&mut answer);
    let body = guard_stream(response.bytes_stream(), slot, silence);
    answer.set_body(Body::from_bytes_stream(guard_body(body, connection)));
    answer
}

/// Frees the slot at the end of the stream and ends a silent one.
fn guard_stream<S>(
    stream: S,
    slot: SlotGuard,
    silence: Duration,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static
where
    S: Stream<Item = reqwest::Result<Bytes>> + Send + 'static,
{
    let state = (Box::pin(stream), slot);
    futures_util::stream::try_unfold(state, move |(mut stream, slot)| async move {
        match tokio::time::timeout(silence, stream.next()).await {
            Ok(Some(Ok(chunk))) => Ok(Some((chunk, (stream, slot)))),
            Ok(None) => Ok(None),
            Ok(Some(Err(error))) => Err(io::Error::other(error.to_string())),
            Err(_) => Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the target fell silent",
            )),
        }
    })
}

/// Reads a whole answer so that it can be recorded.
///
/// # Errors
///
/// Fails if the answer breaks off or is larger than `max` bytes; then its
/// outcome is unknown.
pub(crate) async fn collect_answer(
    delivered: Delivered,
    silence: Duration,
    max: usize,
) -> Result<RecordedAnswer, ResultCode> {
    let Delivered { response, slot } = delivered;
    let status = response.status().as_u16();
    let mut kept = HeaderMap::new();
    headers::copy_end_to_end(response.headers(), &mut kept);
    kept.remove(header::CONTENT_LENGTH);
    let mut body = Vec::new();
    let stream = guard_stream(response.bytes_stream(), slot, silence);
    futures_util::pin_mut!(stream);
    while let Some(chunk) = stream.next().await {
        body.extend_from_slice(&chunk.map_err(|_| ResultCode::AttemptFailed)?);
        if body.len() > max {
            return Err(ResultCode::AttemptFailed);
        }
    }
    let headers = kept
        .iter()
        .map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec()))
        .collect();
    Ok(RecordedAnswer {
        status,
        headers,
        body,
        object: None,
    })
}

/// Builds the answer of a once-only request from its record.
pub(crate) fn replay_answer(
    record: &RecordedAnswer,
    answer_headers: &AnswerHeaders<'_>,
) -> Response {
    let mut answer = Response::default();
    answer.set_status(StatusCode::from_u16(record.status).unwrap_or(StatusCode::BAD_GATEWAY));
    for (name, value) in &record.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            answer.headers_mut().append(name, value);
        }
    }
    answer_headers.write(&mut answer);
    answer.set_body(Body::from_vec(record.body.clone()));
    answer
}
