//! Received headers that an answer shows.

use poem::http::HeaderMap;

/// Headers whose received values the answer shows.
const ECHOED: [(&str, &str); 5] = [
    ("x-forwarded-for", "x-seen-forwarded-for"),
    ("forwarded", "x-seen-forwarded"),
    ("x-request-id", "x-seen-request"),
    ("gentianridge-timeout-ms", "x-seen-timeout"),
    ("x-hop", "x-seen-hop"),
];

pub(super) fn echo_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, seen) in ECHOED {
        if let Some(value) = from.get(name) {
            to.insert(seen, value.clone());
        }
    }
}
