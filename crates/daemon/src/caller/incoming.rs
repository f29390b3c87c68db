//! Requests of callers.

use super::headers::{self, REQUEST_ID};
use crate::fleet::Fleet;
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use gentianridge_core::ResultCode;
use http::{HeaderMap, Method, header};
use parking_lot::Mutex;
use poem::Request;
use rand::Rng;
use sha2::{Digest, Sha256};
use smol_str::{SmolStr, format_smolstr};
use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::time::Duration;

/// Longest path with its query, in bytes.
const MAX_PATH_AND_QUERY_BYTES: usize = 8 * 1024;
/// Longest request id that is accepted from a caller, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

type ByteStream = Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>;

/// The body of a request.
pub(crate) enum RequestBody {
    /// Held in memory, so that a retry can send it again.
    Buffered(Bytes),
    /// Forwarded as it arrives; only one attempt can take it.
    Streaming(Mutex<Option<ByteStream>>),
}

/// The parts of a request that routing needs.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub(crate) id: SmolStr,
    pub(crate) method: Method,
    pub(crate) path: SmolStr,
    /// Path with its query, as the caller wrote it.
    pub(crate) path_and_query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) caller: Option<IpAddr>,
}

/// A request of a caller.
pub(crate) struct IncomingRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: RequestBody,
    /// Digest of the method, the path with its query, and the buffered body.
    pub(crate) digest: [u8; 32],
}

impl RequestHead {
    /// Reads the head of a request.
    pub(crate) fn new(request: &Request) -> Self {
        let headers = request.headers().clone();
        let id = headers::get_text(&headers, &REQUEST_ID)
            .filter(|id| !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES)
            .unwrap_or_else(|| format_smolstr!("{:016x}", rand::rng().next_u64()));
        let uri = request.uri();
        Self {
            id,
            method: request.method().clone(),
            path: uri.path().into(),
            path_and_query: uri.path_and_query().map_or_else(
                || "/".to_owned(),
                |path_and_query| path_and_query.as_str().to_owned(),
            ),
            headers,
            caller: request.remote_addr().as_socket_addr().map(|addr| addr.ip()),
        }
    }

    /// Rejects requests that the HTTP library accepts and that are too large or
    /// contain dot segments.
    pub(crate) fn check(&self, max_body: usize) -> Result<(), ResultCode> {
        let has_dots = self.path.split('/').any(is_dot_segment);
        let is_too_large = self
            .get_content_length()
            .is_some_and(|length| length > max_body as u64);
        if self.path_and_query.len() > MAX_PATH_AND_QUERY_BYTES || has_dots || is_too_large {
            return Err(ResultCode::BadRequest);
        }
        Ok(())
    }

    fn get_content_length(&self) -> Option<u64> {
        self.headers
            .get(header::CONTENT_LENGTH)?
            .to_str()
            .ok()?
            .parse()
            .ok()
    }
}

/// Returns true for `.` and `..`, also percent-encoded.
///
/// The URL library would resolve such segments, and the target would get
/// another path than the one that was routed.
fn is_dot_segment(segment: &str) -> bool {
    let plain = segment.to_ascii_lowercase().replace("%2e", ".");
    plain == "." || plain == ".."
}

impl IncomingRequest {
    /// Buffers the body if it is small enough to be sent again; a larger one is
    /// streamed.
    pub(crate) async fn read(
        head: RequestHead,
        body: poem::Body,
        fleet: &Fleet,
    ) -> Result<Self, ResultCode> {
        let settings = &fleet.settings;
        let mut stream: ByteStream = Box::pin(body.into_bytes_stream());
        let mut buf = BytesMut::new();
        let is_long = head
            .get_content_length()
            .is_some_and(|length| length > settings.max_replay as u64);
        while !is_long && buf.len() <= settings.max_replay {
            match read_chunk(&mut stream, settings.caller_idle).await? {
                Some(chunk) => buf.extend_from_slice(&chunk),
                None => return Ok(Self::buffered(head, buf.freeze())),
            }
        }
        let digest = compute_digest(&head, &buf);
        let body = limit_body(
            stream,
            buf.freeze(),
            settings.max_body,
            settings.caller_idle,
        );
        Ok(Self {
            head,
            body: RequestBody::Streaming(Mutex::new(Some(body))),
            digest,
        })
    }

    fn buffered(head: RequestHead, body: Bytes) -> Self {
        let digest = compute_digest(&head, &body);
        Self {
            head,
            body: RequestBody::Buffered(body),
            digest,
        }
    }

    pub(crate) fn is_replayable(&self) -> bool {
        matches!(self.body, RequestBody::Buffered(_))
    }

    /// Returns the first 64 bits of the digest, by which crashes are counted.
    pub(crate) fn get_fingerprint(&self) -> u64 {
        let (head, _) = self
            .digest
            .split_first_chunk::<8>()
            .unwrap_or((&[0; 8], &[]));
        u64::from_be_bytes(*head)
    }

    /// Returns the body for an attempt, or `None` if it was streamed and an
    /// earlier attempt took it.
    pub(crate) fn get_body(&self) -> Option<reqwest::Body> {
        match &self.body {
            RequestBody::Buffered(bytes) => Some(bytes.clone().into()),
            RequestBody::Streaming(stream) => stream.lock().take().map(reqwest::Body::wrap_stream),
        }
    }
}

fn compute_digest(head: &RequestHead, body: &[u8]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in [
        head.method.as_str().as_bytes(),
        head.path_and_query.as_bytes(),
        body,
    ] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

async fn read_chunk(stream: &mut ByteStream, idle: Duration) -> Result<Option<Bytes>, ResultCode> {
    match tokio::time::timeout(idle, stream.next()).await {
        Ok(Some(Ok(chunk))) => Ok(Some(chunk)),
        Ok(None) => Ok(None),
        Ok(Some(Err(_))) => Err(ResultCode::BadRequest),
        Err(_) => Err(ResultCode::SlowCaller),
    }
}

/// Streams `prefix` and the rest of the body.
///
/// The stream fails if the body exceeds `max` bytes or if no chunk arrives within `idle`.
fn limit_body(stream: ByteStream, prefix: Bytes, max: usize, idle: Duration) -> ByteStream {
    let state = (stream, Some(prefix), 0_usize);
    Box::pin(futures_util::stream::try_unfold(
        state,
        move |(mut stream, prefix, sent)| async move {
            let chunk = match prefix {
                Some(prefix) if !prefix.is_empty() => Some(prefix),
                _ => read_chunk(&mut stream, idle)
                    .await
                    .map_err(|code| io::Error::other(code.text()))?,
            };
            let Some(chunk) = chunk else {
                return Ok(None);
            };
            let sent = sent + chunk.len();
            if sent > max {
                return Err(io::Error::other(ResultCode::BadRequest.text()));
            }
            Ok(Some((chunk, (stream, None, sent))))
        },
    ))
}
