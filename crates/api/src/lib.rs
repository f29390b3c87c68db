//! Types of the operators' HTTP API.
//!
//! The daemon serializes them and the command line deserializes them. The paths
//! are listed in docs/OPERATORS-PATHS.md.

mod explain;
mod preview;
mod status;
mod submit;
mod timeline;

pub use explain::{AttemptTrace, RequestTrace};
pub use preview::{PREVIEW_PATH, PreviewAnswer, PreviewCandidate, PreviewOutcome, PreviewRequest};
pub use status::{
    ClassStatus, PeerStatus, RevisionStatus, ServiceCounters, ServiceStatus, StatusAnswer,
};
pub use submit::{SubmitAnswer, SubmitRequest, SubmitVerdict};
pub use timeline::TimelineAnswer;
