//! Work that must run at most once.
//!
//! The record in the platform's table service decides which VM may run a request.
//! docs/decisions/0006-once-only-work.md explains why a lease is not used.

mod claim;
mod machine;

pub use claim::{Claim, ClaimState, RecordedAnswer, RequestFingerprint, Version};
pub use machine::{Ledger, LedgerAction, LedgerInput};
