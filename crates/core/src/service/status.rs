//! Status of targets for operators.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::time::Duration;

/// Whether a target receives requests, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetCondition {
    /// The target receives requests.
    Active,
    /// The target failed or was slow and receives trial requests only.
    Ejected,
    /// The target reported that it is going to stop.
    Leaving,
    /// The file in force drains the target.
    Drained,
    /// Operators have emptied the failure domain of the target.
    Emptied,
    /// The target has just started, or may have, and gets a limited rate of requests.
    Cold,
}

/// State of one target in the view of one VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Name of the target.
    pub name: SmolStr,
    /// Failure domain of the target.
    pub domain: SmolStr,
    /// Whether the target receives requests.
    pub condition: TargetCondition,
    /// Attempts of this VM in flight.
    pub own: u16,
    /// Estimated requests in flight from all VMs of the fleet.
    pub occupancy: f32,
    /// Slots of the target that the fleet may use now.
    pub slots: f32,
    /// Answer times as a ratio to the median of their class.
    pub slowness: f32,
    /// Age of the last load report in milliseconds.
    pub report_age_ms: Option<u64>,
    /// Reason given in the file in force.
    pub reason: Option<SmolStr>,
    /// Author given in the file in force.
    pub author: Option<SmolStr>,
}

/// Inputs of the choice of a target, for the log line about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementInputs {
    /// Attempts of this VM in flight on the target.
    pub own: u16,
    /// Slots that the target declares.
    pub slots: u16,
    /// Age of the target's last report.
    pub report_age: Option<Duration>,
    /// Work time of the last report in percent of the usual one.
    pub work_percent: Option<u16>,
    /// Calls of the service that wait on this VM.
    pub waiting: usize,
}
