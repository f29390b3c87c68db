//! A caller's request, read completely before it is forwarded.

use super::state::Gateway;
use crate::caller::headers::{copy_end_to_end, get_text};
use bytes::{Bytes, BytesMut};
use gentianridge_adapter::HeaderNames;
use gentianridge_core::ResultCode;
use http::{HeaderMap, HeaderValue, Method, Request, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use smol_str::SmolStr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A request that can be sent more than once.
///
/// The body is read before a target is chosen. A slot is then never held for a
/// slow caller, a target that answers early cannot mistake later bytes on the
/// connection for the rest of the body, and a request that was not run can be
/// sent to another target.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The caller's attempt ID, empty if the header is missing.
    pub(crate) id: SmolStr,
    /// Time that the caller still waits, if the header states it.
    pub(crate) time_left: Option<Duration>,
    /// Hash of method, path and body; a repeated request has the same.
    pub(crate) fingerprint: u64,
}

impl CallerRequest {
    /// Longest time without data while a body is read.
    const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

    /// Reads a complete request.
    pub(crate) async fn read(
        gateway: &Gateway,
        request: Request<Incoming>,
        max_body: usize,
    ) -> Result<Self, ResultCode> {
        let (head, body) = request.into_parts();
        let body = read_body(body, max_body).await?;
        let names = &gateway.headers;
        let mut headers = HeaderMap::with_capacity(head.headers.len() + 3);
        copy_end_to_end(&head.headers, &mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let time_left = get_text(&headers, &names.time_left_ms)
            .and_then(|text| text.parse().ok())
            .map(Duration::from_millis);
        Ok(Self {
            fingerprint: make_fingerprint(&head.method, &head.uri, &body),
            id: get_text(&headers, &names.attempt_id).unwrap_or_default(),
            method: head.method,
            uri: head.uri,
            headers,
            body,
            time_left,
        })
    }

    /// Replaces the caller's key and whatever it says of its workspace by the name of the
    /// workspace that holds the key, if any.
    pub(crate) fn set_workspace(&mut self, names: &HeaderNames, name: Option<&str>) {
        self.headers.remove(header::AUTHORIZATION);
        self.headers.remove(&names.workspace);
        // Names that no header can hold have no keys.
        if let Some(value) = name.and_then(|name| HeaderValue::from_str(name).ok()) {
            self.headers.insert(names.workspace.clone(), value);
        }
    }

    /// Builds the request for one target.
    pub(crate) fn make_request(
        &self,
        gateway: &Gateway,
        target: &str,
        time_left: Duration,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = to_origin_form(&self.uri);
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        let names = &gateway.headers;
        let time_left = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(names.time_left_ms.clone(), HeaderValue::from(time_left));
        if let Ok(value) = HeaderValue::from_str(target) {
            headers.insert(names.expected_target.clone(), value);
        }
        if self.has_content_length() {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(self.body.len()));
        }
        request
    }

    /// Returns true if the request needs a `Content-Length`, which is left out
    /// for methods without a body.
    fn has_content_length(&self) -> bool {
        !self.body.is_empty()
            || !matches!(
                self.method,
                Method::GET | Method::HEAD | Method::DELETE | Method::OPTIONS
            )
    }
}

fn make_fingerprint(method: &Method, uri: &Uri, body: &[u8]) -> u64 {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let seed = xxh3_64_with_seed(method.as_str().as_bytes(), 0);
    xxh3_64_with_seed(body, xxh3_64_with_seed(path.as_bytes(), seed))
}

fn to_origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| uri.clone())
}

async fn read_body(mut body: Incoming, max: usize) -> Result<Bytes, ResultCode> {
    if body.size_hint().lower() > max as u64 {
        return Err(ResultCode::TooLarge);
    }
    let mut buf = BytesMut::new();
    while !body.is_end_stream() {
        let frame = tokio::time::timeout(CallerRequest::BODY_IDLE_TIMEOUT, body.frame())
            .await
            .map_err(|_| ResultCode::SlowCaller)?;
        match frame {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    buf.extend_from_slice(data);
                }
            }
            Some(Err(error)) => {
                log::debug!("request body truncated: {error}");
                return Err(ResultCode::BadRequest);
            }
            None => break,
        }
        if buf.len() > max {
            return Err(ResultCode::TooLarge);
        }
    }
    Ok(buf.freeze())
}
