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
    /// Probes per second of the entire fleet.
    pub probes_per_second: u16,
    /// Path that probes request.
    pub probe_path: SmolStr,
    /// Reason for the service's settings.
    pub note: Option<Note>,
    /// Limit of repeats for the entire fleet, if there is one.
    pub repeats: Option<RepeatLimit>,
    /// Load requests to targets before a request is dispatched, if they are enabled.
    pub sampling: Option<Sampling>,
}

/// Load requests that are sent to targets just before a request is dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sampling {
    /// Number of targets that receive a load request at the same time.
    pub fanout: u8,
    /// Age up to which the work time in a load sample is current.
    pub fresh: Duration,
    /// Longest wait for the load samples.
    pub wait: Duration,
}

/// Maximum number of repeated sends of a service by the entire fleet in any window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepeatLimit {
    /// Length of the sliding window.
    pub window: Duration,
    /// Repeats per hundred requests in the window.
    pub percent: u16,
    /// Repeats in the window in addition to the percentage, divided among the VMs.
    pub extra: u16,
}

impl ServiceSpec {
    /// Returns the index of the first class that matches the request.
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
