//! Copies received headers into answers.

use poem::http::HeaderMap;

/// Request headers and the answer headers that carry their received values.
const ECHOED_HEADERS: [(&str, &str); 5] = [
    ("x-forwarded-for", "x-seen-forwarded-for"),
    ("forwarded", "x-seen-forwarded"),
    ("x-request-id", "x-seen-request"),
    ("gentianridge-timeout-ms", "x-seen-timeout"),
    ("x-hop", "x-seen-hop"),
];

pub(super) fn echo_headers(request: &HeaderMap, response: &mut HeaderMap) {
    for (name, echoed_name) in ECHOED_HEADERS {
        if let Some(value) = request.get(name) {
            response.insert(echoed_name, value.clone());
        }
    }
}
