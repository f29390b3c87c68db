//! How a limit is divided.

use super::super::RateLimit;
use crate::RequestBound;
use std::time::Duration;

/// The division of one limit into parts.
///
/// Tokens leave the buckets of the parts at `rate` a second and `capacity` at once. Each
/// is spent within `hold` of that, so that any window holds at most `rate` x (window +
/// `hold`) + `capacity` requests. docs/design/0026-limits-of-workspaces.md shows that
/// this is the limit and half of its tolerance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTerms {
    /// Number of parts, which does not depend on the VMs.
    pub parts: usize,
    /// Tokens a second that one part receives.
    pub rate: f64,
    /// Largest number of tokens of one part.
    pub capacity: f64,
    /// Tokens of a part whose holder has just started: what the rest of the tolerance covers,
    /// as it does not know what the process before it has spent.
    pub start_level: f64,
    /// Time within which a token that leaves its holder is spent.
    pub hold: Duration,
}

impl LimitTerms {
    /// Part of the tolerance that the tokens may use: a request needs a whole token, and
    /// parts of tokens on many VMs admit no request. The rest is for what VMs cannot know:
    /// processes before their own.
    const TOLERANCE_PART: f64 = 0.5;
    /// Longest time for which a VM keeps tokens of another, in seconds.
    const MAX_HOLD_S: f64 = 1.0;
    /// Part of the tokens that may be under way between VMs.
    const HOLD_PART: f64 = 0.25;
    /// Requests a second of one part; one message then moves several tokens of a large
    /// workspace.
    const PART_RATE: f64 = 8.0;
    /// Number of parts of a small workspace: the loss of one leaves most of it, and each
    /// still receives a token in a short time.
    const MIN_PARTS: f64 = 4.0;
    /// Number of parts of the largest workspaces, which bounds the time to find their holders.
    const MAX_PARTS: f64 = 1_024.0;
    /// Times that all holders may restart within one window.
    const RESTARTS: f64 = 4.0;

    /// Divides a limit.
    ///
    /// A limit that admits less than one request at once is taken as one request, as no
    /// request could ever run otherwise.
    pub fn new(limit: RateLimit, window: Duration, bound: RequestBound) -> Self {
        let admitted = limit.per_second * window.as_secs_f64() + limit.burst;
        let excess = f64::from(bound.excess_percent) / 100.0;
        let tolerance = admitted * excess + f64::from(bound.slack);
        let reserve = tolerance * (1.0 - Self::TOLERANCE_PART);
        let pot = limit.burst + tolerance * Self::TOLERANCE_PART;
        let hold_s = (pot * Self::HOLD_PART / limit.per_second).min(Self::MAX_HOLD_S);
        let capacity = (pot - limit.per_second * hold_s).max(1.0);
        let parts = (limit.per_second / Self::PART_RATE)
            .clamp(Self::MIN_PARTS, Self::MAX_PARTS)
            .min(capacity)
            .max(1.0)
            .floor();
        Self {
            parts: parts as usize,
            rate: limit.per_second / parts,
            capacity: capacity / parts,
            start_level: (reserve / (Self::RESTARTS * parts)).min(1.0),
            hold: Duration::from_secs_f64(hold_s),
        }
    }
}
