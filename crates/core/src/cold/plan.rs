//! How many VMs send to a cold target, and at which rate each.

use super::ColdBudget;
use crate::{ColdRate, MAX_SPAN, RequestBound};
use std::time::Duration;

/// The parts into which the rate of a cold target is divided.
///
/// The parts are so large that each is of whole requests, and so few that two sets of owners
/// stay within the bound together: VMs that have not heard of each other, for example
/// while a fleet grows, may disagree on the owners.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdPlan {
    /// VMs that send to one cold target.
    pub owners: usize,
    /// Time between two requests of one owner, on average.
    pub interval: Duration,
    /// Time for which a target is cold after its start.
    pub warm_up: Duration,
}

impl ColdPlan {
    /// Owners of a target: a second one uses half of the rate while the other is lost.
    const MAX_OWNERS: usize = 2;
    /// Sets of owners that may send at the same time, because views of the fleet differ.
    const OWNER_SETS: f64 = 2.0;
    /// Part of a rate by which a reduced one stays below the next whole request a second.
    const MARGIN: f64 = 0.01;

    /// Divides the rate so that the bound holds for two sets of owners. Without room for a
    /// whole request a second of each there are no owners, and cold targets get nothing.
    pub fn new(rate: ColdRate, bound: RequestBound) -> Self {
        let excess = 1.0 + f64::from(bound.excess_percent) / 100.0;
        let limit = rate.per_second * excess + f64::from(bound.slack);
        let per_owner = (1..=Self::MAX_OWNERS).rev().find_map(|owners| {
            let per_second = rate.per_second / owners as f64;
            let most = ColdBudget::get_most_per_second(per_second);
            let is_within = Self::OWNER_SETS * owners as f64 * most <= limit;
            is_within.then_some((owners, per_second))
        });
        let reduced = || Self::reduce(limit).map(|per_second| (1, per_second));
        let (owners, per_second) = per_owner.or_else(reduced).unwrap_or((0, 1.0));
        Self {
            owners,
            interval: Duration::try_from_secs_f64(1.0 / per_second).unwrap_or(MAX_SPAN),
            warm_up: rate.warm_up,
        }
    }

    /// Returns the highest rate of a single owner that two of them may have.
    fn reduce(limit: f64) -> Option<f64> {
        let most = (limit / Self::OWNER_SETS).floor();
        let per_second = most - ColdBudget::CARRY - Self::MARGIN;
        (per_second > 0.0).then_some(per_second)
    }
}
