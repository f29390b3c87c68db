//! Forwards, records and replays the answers of targets.

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

/// Values of the headers that this VM adds to every answer.
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
            // This level has used its retry budget. A retry by a level above
            // would multiply the attempts.
            headers.insert(RETRIED, HeaderValue::from_static("1"));
        }
    }
}

/// Forwards an answer as it arrives.
///
/// If the target's connection breaks, the caller's connection is broken too,
/// so a truncated answer never looks complete.
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

/// Frees the slot when the stream ends and fails the stream if no chunk
/// arrives within `silence`.
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
                "target sent no data within the silence time",
            )),
        }
    })
}

/// Reads a complete answer so that it can be recorded.
///
/// # Errors
///
/// Fails if the answer is truncated or larger than `max` bytes; the outcome of
/// the request is then unknown.
pub(crate) async fn collect_answer(
    delivered: Delivered,
    silence: Duration,
    max: usize,
) -> Result<RecordedAnswer, ResultCode> {
    let Delivered { response, slot } = delivered;
    let status = response.status().as_u16();
    let mut end_to_end = HeaderMap::new();
    headers::copy_end_to_end(response.headers(), &mut end_to_end);
    end_to_end.remove(header::CONTENT_LENGTH);
    let mut body = Vec::new();
    let stream = guard_stream(response.bytes_stream(), slot, silence);
    futures_util::pin_mut!(stream);
    while let Some(chunk) = stream.next().await {
        body.extend_from_slice(&chunk.map_err(|_| ResultCode::AttemptFailed)?);
        if body.len() > max {
            return Err(ResultCode::AttemptFailed);
        }
    }
    let headers = end_to_end
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
