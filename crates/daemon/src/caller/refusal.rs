//! Answers that the daemon generates itself.

use super::headers::{CODE, REQUEST_ID, RETRIED, RUN, VM, set_text};
use gentianridge_core::ResultCode;
use http::{HeaderValue, StatusCode, header};
use poem::{Body, Response};
use rand::RngExt;

/// Largest value of `Retry-After`, in seconds.
const MAX_RETRY_AFTER_SECONDS: u64 = 3;

/// Builds the answer of a refusal.
///
/// Headers carry the code and whether the request ran, so that a caller can
/// decide about a retry without reading the body. The jitter of `Retry-After`
/// keeps refused callers from retrying at the same time.
pub(crate) fn refuse(code: ResultCode, request: &str, vm: &str) -> Response {
    let status =
        StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let text = format!("{} {}\n", code.number(), code.text());
    let mut response = Response::builder()
        .status(status)
        .content_type("text/plain; charset=utf-8")
        .body(Body::from_string(text));
    let headers = response.headers_mut();
    headers.insert(CODE, HeaderValue::from(code.number()));
    headers.insert(RUN, HeaderValue::from_static(code.run_state().as_str()));
    set_text(headers, REQUEST_ID, request);
    set_text(headers, VM, vm);
    if code.is_final_for_levels_above() {
        headers.insert(RETRIED, HeaderValue::from_static("1"));
    }
    if code.is_retryable() {
        let seconds = rand::rng().random_range(1..=MAX_RETRY_AFTER_SECONDS);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
