//! Headers of requests and answers.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use smol_str::SmolStr;
use std::net::IpAddr;
use std::time::Duration;

/// Identifies a request across all levels of load balancers.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Time that remains for the answer, in milliseconds.
pub(crate) const TIMEOUT_MS: HeaderName = HeaderName::from_static("gentianridge-timeout-ms");
/// Set if a lower level has already retried the request.
pub(crate) const RETRIED: HeaderName = HeaderName::from_static("gentianridge-retried");
/// Whether a refused request has run.
pub(crate) const RUN: HeaderName = HeaderName::from_static("gentianridge-run");
/// Numbered result code of a refusal.
pub(crate) const CODE: HeaderName = HeaderName::from_static("gentianridge-code");
/// VM that handled the call.
pub(crate) const VM: HeaderName = HeaderName::from_static("gentianridge-vm");
/// Set if the answer is a recorded one.
pub(crate) const REPLAYED: HeaderName = HeaderName::from_static("gentianridge-replayed");
/// Key that makes a request run at most once.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Returns true for a status of a final answer.
///
/// The HTTP library also accepts 101, which no request here asks for and after which the
/// caller would take what follows for another protocol, and numbers up to 999.
pub(crate) fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns true for headers that apply to one connection only.
fn is_hop_by_hop(name: &HeaderName) -> bool {
    [
        header::CONNECTION,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        KEEP_ALIVE,
        PROXY_CONNECTION,
    ]
    .contains(name)
}

/// Copies the end-to-end headers.
pub(crate) fn copy_end_to_end(from: &HeaderMap, to: &mut HeaderMap) {
    let listed = get_connection_headers(from);
    for (name, value) in from {
        if !is_hop_by_hop(name) && !listed.contains(name) {
            to.append(name.clone(), value.clone());
        }
    }
}

/// Returns the headers that the `Connection` header declares to be hop-by-hop.
fn get_connection_headers(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

/// Adds the caller's address to `X-Forwarded-For` and `Forwarded`.
pub(crate) fn add_forwarded(headers: &mut HeaderMap, caller: Option<IpAddr>) {
    let Some(caller) = caller else {
        return;
    };
    append_list_item(headers, FORWARDED_FOR, &caller.to_string());
    let node = match caller {
        IpAddr::V4(ip) => format!("for={ip}"),
        IpAddr::V6(ip) => format!("for=\"[{ip}]\""),
    };
    append_list_item(headers, header::FORWARDED, &node);
}

/// Appends an item to a comma-separated header and joins repeated headers into one.
fn append_list_item(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    let items: Vec<&str> = headers
        .get_all(&name)
        .iter()
        .filter_map(|item| item.to_str().ok())
        .collect();
    let mut joined = items.join(", ");
    if !joined.is_empty() {
        joined.push_str(", ");
    }
    joined.push_str(value);
    if let Ok(value) = HeaderValue::from_str(&joined) {
        headers.insert(name, value);
    }
}

/// Returns the value of a header as text, if it is printable.
pub(crate) fn get_text(headers: &HeaderMap, name: &HeaderName) -> Option<SmolStr> {
    let text = headers.get(name)?.to_str().ok()?;
    Some(text.into())
}

/// Returns the timeout that the caller set for the answer.
pub(crate) fn get_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(TIMEOUT_MS)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}

/// Sets the time that remains for the answer.
pub(crate) fn set_timeout(headers: &mut HeaderMap, remaining: Duration) {
    headers.insert(TIMEOUT_MS, HeaderValue::from(remaining.as_millis() as u64));
}

/// Returns true if the answer states that the request was not run.
pub(crate) fn is_not_run(headers: &HeaderMap) -> bool {
    headers.get(RUN).is_some_and(|value| value == "not-run")
}

/// Sets a header to a text; a text that is no valid header value is left out.
pub(crate) fn set_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
