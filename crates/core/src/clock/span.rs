//! Sums of instants and spans that another process states.

use std::time::{Duration, Instant};

/// Longest span that is added to an instant: 100 years.
///
/// An `Instant` cannot represent every sum with a `Duration`, and the addition panics then.
/// A longer span from a target, a peer or a configuration counts as this one.
pub const MAX_SPAN: Duration = Duration::from_secs(100 * 365 * 24 * 60 * 60);

/// Returns the instant that is `span`, at most [`MAX_SPAN`], after another one.
pub fn add_span(at: Instant, span: Duration) -> Instant {
    at + span.min(MAX_SPAN)
}
