//! How a limit is divided.

use super::super::RateLimit;
use crate::RequestBound;
use std::time::Duration;

/// The division of one limit over a fleet.
///
/// Tokens leave the buckets of the holders at `rate` a second and `capacity` at once. Each
/// is spent within `hold` of that, so that any window holds at most `rate` x (window +
/// `hold`) + `capacity` requests. docs/design/0026-limits-of-workspaces.md shows that
/// this is the limit and half of its tolerance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTerms {
    /// Number of VMs that hold a part.
    pub holders: usize,
    /// Tokens a second that one holder receives.
    pub rate: f64,
    /// Largest number of tokens of one holder.
    pub capacity: f64,
    /// Tokens of a holder that has just started: what the rest of the tolerance covers, as
    /// it does not know what the process before it has spent.
    pub start_level: f64,
    /// Time within which a token that leaves its holder is spent.
    pub hold: Duration,
}

impl LimitTerms {
    /// Part of the tolerance that the tokens may use: a request needs a whole token, and
    /// parts of tokens on many VMs admit no request. The rest is for what VMs cannot know:
    /// others that have just joined, and processes before their own.
    const TOLERANCE_PART: f64 = 0.5;
    /// Longest time for which a VM keeps tokens of another, in seconds.
    const MAX_HOLD_S: f64 = 1.0;
    /// Part of the tokens that may be under way between VMs.
    const HOLD_PART: f64 = 0.25;
    /// Requests a second for which a further holder is taken; one message then moves
    /// several tokens of a large workspace.
    const HOLDER_RATE: f64 = 8.0;
    /// Number of holders of a small workspace: the loss of one leaves most of it, and each
    /// still receives a token in a short time.
    const MIN_HOLDERS: f64 = 4.0;
    /// Times that all holders may restart within one window.
    const RESTARTS: f64 = 2.0;

    /// Divides a limit among up to `members` VMs.
    ///
    /// A limit that admits less than one request at once is taken as one request, as no
    /// request could ever run otherwise.
    pub fn new(limit: RateLimit, window: Duration, bound: RequestBound, members: usize) -> Self {
        let admitted = limit.per_second * window.as_secs_f64() + limit.burst;
        let excess = f64::from(bound.excess_percent) / 100.0;
        let tolerance = admitted * excess + f64::from(bound.slack);
        let reserve = tolerance * (1.0 - Self::TOLERANCE_PART);
        let pot = limit.burst + tolerance * Self::TOLERANCE_PART;
        let hold_s = (pot * Self::HOLD_PART / limit.per_second).min(Self::MAX_HOLD_S);
        let capacity = (pot - limit.per_second * hold_s).max(1.0);
        let holders = (limit.per_second / Self::HOLDER_RATE)
            .max(Self::MIN_HOLDERS)
            .min(capacity)
            .min(members as f64)
            .max(1.0)
            .floor();
        Self {
            holders: holders as usize,
            rate: limit.per_second / holders,
            capacity: capacity / holders,
            start_level: (reserve / (Self::RESTARTS * holders)).min(1.0),
            hold: Duration::from_secs_f64(hold_s),
        }
    }
}
