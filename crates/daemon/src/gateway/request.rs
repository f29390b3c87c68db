//! A caller's request, read before it is forwarded.

use super::body::{OutgoingBody, RequestBody, read_body};
use super::memory::ConnectionMemory;
use super::state::Gateway;
use crate::caller::headers::{copy_end_to_end, get_text};
use gentianridge_adapter::HeaderNames;
use gentianridge_core::ResultCode;
use http::{HeaderMap, HeaderValue, Method, Request, Uri, header};
use hyper::body::Incoming;
use smol_str::SmolStr;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// A request that was read as far as it is held.
///
/// The body is read before a target is chosen. A slot is then never held for a
/// slow caller, a target that answers early cannot mistake later bytes on the
/// connection for the rest of the body, and a request that was not run can be
/// sent to another target. Only a body that is longer than what may be held is forwarded
/// as it arrives: docs/design/0021-memory-for-callers.md.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: RequestBody,
    /// Account of the caller's connection.
    pub(crate) memory: Rc<ConnectionMemory>,
    /// The caller's attempt ID, empty if the header is missing.
    pub(crate) id: SmolStr,
    /// Time that the caller still waits, if the header states it.
    pub(crate) time_left: Option<Duration>,
    /// Hash of method, path and body; a repeated request has the same.
    pub(crate) fingerprint: u64,
}

impl CallerRequest {
    /// Reads a request.
    pub(crate) async fn read(
        gateway: &Gateway,
        memory: Rc<ConnectionMemory>,
        request: Request<Incoming>,
        max_body: usize,
    ) -> Result<Self, ResultCode> {
        let (head, body) = request.into_parts();
        let body = read_body(gateway, &memory, body, max_body).await?;
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
            memory,
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
    ) -> Request<OutgoingBody> {
        let mut request = Request::new(self.body.make_outgoing());
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
        match self.body.get_length() {
            Some(length) if self.has_content_length(length) => {
                headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
            }
            Some(_) => {}
            None => {
                let chunked = HeaderValue::from_static("chunked");
                headers.insert(header::TRANSFER_ENCODING, chunked);
            }
        }
        request
    }

    /// Returns true if the request needs a `Content-Length`, which is left out
    /// for methods without a body.
    fn has_content_length(&self, length: u64) -> bool {
        length > 0
            || !matches!(
                self.method,
                Method::GET | Method::HEAD | Method::DELETE | Method::OPTIONS
            )
    }
}

fn make_fingerprint(method: &Method, uri: &Uri, body: &RequestBody) -> u64 {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let seed = xxh3_64_with_seed(method.as_str().as_bytes(), 0);
    let mut hasher = Xxh3::with_seed(xxh3_64_with_seed(path.as_bytes(), seed));
    for block in body.get_identity() {
        hasher.update(block);
    }
    hasher.digest()
}

fn to_origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| uri.clone())
}
