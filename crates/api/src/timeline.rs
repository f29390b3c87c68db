//! Events of one VM.

use gentianridge_core::Event;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The events of one VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TimelineAnswer {
    /// Name of the VM.
    pub vm: SmolStr,
    /// Number of events dropped since the start because the ring buffer is bounded.
    pub dropped: u64,
    /// Events in the order in which they were recorded.
    pub events: Vec<Event>,
}
