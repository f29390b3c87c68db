//! The record of one idempotency key.

use crate::VmName;
use smol_str::SmolStr;

/// Fingerprint of method, path and body of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestFingerprint(pub u128);

/// Version of a row of the table service, for conditional writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Version(pub u64);

/// The VM that may run the request, and the state of the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Fingerprint of the request that the key identifies.
    pub fingerprint: RequestFingerprint,
    /// Unique number of this claim, which identifies the record to its holder.
    pub token: u128,
    /// VM that holds the claim.
    pub vm: VmName,
    /// Wall time in milliseconds since the Unix epoch until which the holder may dispatch.
    pub deadline_ms: u64,
    /// State of the request.
    pub state: ClaimState,
}

/// State of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState {
    /// The holder may dispatch the request or has done so.
    Running,
    /// No target has run the request; another call may claim it.
    NotRun,
    /// A target answered.
    Answered(RecordedAnswer),
    /// A target may have run the request.
    Unknown,
}

/// An answer that is replayed for a repeated key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers in their order.
    pub headers: Vec<(SmolStr, Vec<u8>)>,
    /// Complete body, or the part that is kept inline.
    pub body: Vec<u8>,
    /// Name in the object store if the body is kept there.
    pub object: Option<SmolStr>,
}
