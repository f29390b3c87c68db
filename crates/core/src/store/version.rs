//! Versions of the store.

use std::fmt;

/// A version of the store, ordered by era first.
///
/// A store that returns from an older copy begins a new era and gives out numbers again that
/// the era before it used. Only numbers of one era can be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreVersion {
    /// Era of the store, 0 if the store states none.
    pub era: u64,
    /// Number within the era.
    pub number: u64,
}

impl StoreVersion {
    /// Creates a version.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
