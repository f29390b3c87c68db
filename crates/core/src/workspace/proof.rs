//! How recently a configuration was seen in the store.

use std::time::Duration;

/// A statement that a revision was the newest one in the store some time ago.
///
/// It holds for the VM that read the store and for all that receive it, each with an age
/// that counts from the start of that read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigProof {
    /// The revision that was the newest.
    pub revision: u64,
    /// Time since the start of the read.
    pub age: Duration,
}
