//! Services and their budgets.

use crate::{ClassSpec, Note, RouteMatch, TargetSpec};
use smol_str::SmolStr;
use std::time::Duration;

/// One service: targets that can do the same work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name, unique within the file.
    pub name: SmolStr,
    /// Calls that the service takes.
    pub route: RouteMatch,
    /// Classes in the order in which they are matched.
    pub classes: Vec<ClassSpec>,
    /// Targets in the order of the file.
    pub targets: Vec<TargetSpec>,
    /// Retries as a share of first attempts, in percent.
    pub retry_percent: u8,
    /// Hedges as a share of first attempts, in percent.
    pub hedge_percent: u8,
    /// Longest time without a byte from a target during an answer.
    pub silence: Duration,
    /// Probes a second over the whole fleet.
    pub probes_per_second: u16,
    /// Path that probes ask for.
    pub probe_path: SmolStr,
    /// Reason for the service's settings.
    pub note: Option<Note>,
    /// Bound on repeats over the whole fleet, if there is one.
    pub repeats: Option<RepeatLimit>,
    /// Questions to targets before a request is placed, if they are worth it.
    pub sampling: Option<Sampling>,
}

/// How targets are asked for their load just before a request is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sampling {
    /// Targets asked at once.
    pub fanout: u8,
    /// Age up to which a report says how long work takes now.
    pub fresh: Duration,
    /// Longest wait for the reports.
    pub wait: Duration,
}

/// Most repeated sends of a service over the whole fleet in any window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepeatLimit {
    /// Length of the sliding window.
    pub window: Duration,
    /// Repeats for each hundred requests in the window.
    pub percent: u16,
    /// Repeats in the window beside the share, divided among the VMs.
    pub extra: u16,
}

impl ServiceSpec {
    /// Returns the index of the first class that takes the request.
    pub fn find_class(&self, method: &str, path: &str) -> Option<usize> {
        self.classes
            .iter()
            .position(|class| class.route.is_match(method, path))
    }

    /// Returns the slots of the targets that may get work.
    pub fn count_usable_slots(&self) -> u32 {
        self.targets
            .iter()
            .filter(|target| !target.drain && target.weight > 0)
            .map(|target| u32::from(target.get_slots()))
            .sum()
    }
}
