//! The record of one idempotency key.

use crate::VmName;
use smol_str::SmolStr;

/// Fingerprint of method, path and body of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestFingerprint(pub u128);

/// Version of a row of the table service, for conditional writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Version(pub u64);

/// Who may run the request, and what became of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Request that the key stands for.
    pub fingerprint: RequestFingerprint,
    /// Unique number of this claim, by which a holder knows its own record.
    pub token: u128,
    /// VM that holds the claim.
    pub vm: VmName,
    /// Wall time in milliseconds since the Unix epoch until which the holder may dispatch.
    pub deadline_ms: u64,
    /// What became of the request.
    pub state: ClaimState,
}

/// What became of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState {
    /// The holder may dispatch the request or has done so.
    Running,
    /// No target has run the request; another claim may follow.
    NotRun,
    /// A target answered.
    Answered(RecordedAnswer),
    /// A target may have run the request.
    Unknown,
}

/// An answer that is handed on again for a repeated key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers in their order.
    pub headers: Vec<(SmolStr, Vec<u8>)>,
    /// Whole body, or the part kept inline.
    pub body: Vec<u8>,
    /// Name in the object store if the body is kept there.
    pub object: Option<SmolStr>,
}
