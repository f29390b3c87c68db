//! Status of targets for operators.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::time::Duration;

/// Whether a target gets work, and if not why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetCondition {
    /// The target gets work.
    Active,
    /// The target failed or was slow and gets trial requests only.
    Ejected,
    /// The target said that it is going to stop.
    Leaving,
    /// The file takes the target out.
    Drained,
}

/// One target as one VM sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Name of the target.
    pub name: SmolStr,
    /// Failure domain of the target.
    pub domain: SmolStr,
    /// Whether the target gets work.
    pub condition: TargetCondition,
    /// Attempts of this VM in flight.
    pub own: u16,
    /// Requests believed to be in flight from the whole fleet.
    pub occupancy: f32,
    /// Slots that the fleet should use now.
    pub slots: f32,
    /// Answer times as a ratio to the service's usual ones.
    pub slowness: f32,
    /// Age of the last load report in milliseconds.
    pub report_age_ms: Option<u64>,
    /// Reason that the file gives.
    pub reason: Option<SmolStr>,
    /// Author that the file gives.
    pub author: Option<SmolStr>,
}

/// What the choice of a target rests on, for the line that tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementInputs {
    /// Attempts of this VM in flight on the target.
    pub own: u16,
    /// Slots that the target declares.
    pub slots: u16,
    /// Age of the target's last report.
    pub report_age: Option<Duration>,
    /// Pace that the last report told, in percent of the usual time.
    pub work_percent: Option<u16>,
    /// Calls of the service that wait on this VM.
    pub waiting: usize,
}
