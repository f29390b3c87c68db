//! Previews: where a request would go now.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Path of previews on the metrics address of a daemon on the platform.
pub const PREVIEW_PATH: &str = "/preview";

/// The request that a preview is about; it is not sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviewRequest {
    /// HTTP method.
    pub method: SmolStr,
    /// Host, as in the header of that name.
    pub host: SmolStr,
    /// Path without the query.
    pub path: SmolStr,
    /// Name of the caller's workspace, if it has one.
    pub workspace: Option<SmolStr>,
    /// Size of the body in bytes.
    pub body_bytes: u64,
    /// Time that the caller would wait in milliseconds, if it states one.
    pub deadline_ms: Option<u64>,
}

/// What would happen to a request at one VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PreviewAnswer {
    /// VM that answered.
    pub vm: SmolStr,
    /// Version of the configuration in force, 0 if there is none.
    pub version: u64,
    /// Age of the list of targets in milliseconds, if there is a list.
    pub list_age_ms: Option<u64>,
    /// Route that the request takes, if any.
    pub route: Option<SmolStr>,
    /// Service of the request, if any.
    pub service: Option<SmolStr>,
    /// Class that decides on its order, if any.
    pub class: Option<SmolStr>,
    /// What would happen.
    pub outcome: PreviewOutcome,
    /// Calls that wait before it.
    pub ahead: usize,
    /// Estimated wait in milliseconds.
    pub wait_ms: u64,
    /// Usual time until an answer of its kind in milliseconds.
    pub usual_ms: u64,
    /// Targets of the service, the best one first.
    pub candidates: Vec<PreviewCandidate>,
}

/// What would happen to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum PreviewOutcome {
    /// It would be sent to a target at once.
    Sent {
        /// Name of the target.
        target: SmolStr,
    },
    /// It would be sent after load requests to targets whose reports are too old; their
    /// answers decide.
    Sampled,
    /// It would wait for a slot.
    Waits,
    /// It would be refused.
    Refused {
        /// Number of the result code.
        code: u16,
    },
}

/// One target, and what speaks for or against it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PreviewCandidate {
    /// Name of the target.
    pub target: SmolStr,
    /// Failure domain of the target.
    pub domain: SmolStr,
    /// Why the target gets nothing now, if so.
    pub obstacle: Option<SmolStr>,
    /// Sum of what speaks against the target, without the random part; the smallest wins.
    pub score: Option<f32>,
    /// Attempts of this VM in flight.
    pub own: u16,
    /// Estimated requests in flight from all VMs.
    pub occupancy: f32,
    /// Slots that the fleet may use now.
    pub slots: f32,
    /// Answer times as a ratio to the median of their class.
    pub slowness: f32,
    /// Work time of the last report in percent of the usual one.
    pub work_percent: Option<u16>,
    /// Age of the last report in milliseconds.
    pub report_age_ms: Option<u64>,
    /// True if the target is in the failure domain of the VM.
    pub is_near: bool,
}
