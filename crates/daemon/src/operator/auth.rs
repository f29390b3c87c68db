//! The operators' token.

use poem::Request;
use subtle::ConstantTimeEq;

/// Returns true if the request carries the operators' token.
///
/// The comparison takes the same time for all wrong tokens of the same length,
/// and with an empty token in the settings every request is refused.
pub(crate) fn is_authorized(request: &Request, token: &str) -> bool {
    let sent = request
        .headers()
        .get("authorization")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.strip_prefix("Bearer "));
    match sent {
        Some(sent) => !token.is_empty() && bool::from(sent.as_bytes().ct_eq(token.as_bytes())),
        None => false,
    }
}
