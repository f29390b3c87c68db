//! How recently a configuration was seen in the store.

use std::time::Duration;

/// A statement that no revision newer than `revision` was in the store at a moment.
///
/// The moment is on the store's own clock, so that the statement stays true however long
/// it is under way or waits: each VM that receives it computes its age by what it knows of
/// that clock ([`StoreClock`](super::StoreClock)).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigProof {
    /// Era of the store in which it was read, 0 if the store states none.
    pub era: u64,
    /// Newest revision that can have been in the store.
    pub revision: u64,
    /// Time of the store's clock, at or before the start of the read.
    pub at: Duration,
}
