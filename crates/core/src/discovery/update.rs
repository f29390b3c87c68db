//! Readings of the list of targets, as VMs make and tell them.

use super::TargetEntry;
use smol_str::SmolStr;
use std::time::Duration;

/// What one call to the store says about the targets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetListRead {
    /// Version of the store up to which it reaches.
    pub version: u64,
    /// True if it holds every entry, false if it holds what has changed.
    pub is_full: bool,
    /// Entries that can be read.
    pub entries: Vec<TargetEntry>,
    /// Names of the targets whose entries have gone.
    pub removed: Vec<SmolStr>,
}

/// A reading of the list of targets, told to those who then need not read it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetListUpdate {
    /// Version of the store after which the changes follow.
    pub base: u64,
    /// Version of the store up to which they reach.
    pub version: u64,
    /// Configuration that was the newest at the reading.
    pub revision: u64,
    /// Time since the reading.
    pub age: Duration,
    /// Time for which entries that go may have lapsed, because the store
    /// returned lately.
    pub settle_left: Duration,
    /// New or changed entries.
    pub entries: Vec<TargetEntry>,
    /// Names of the targets whose entries have gone.
    pub removed: Vec<SmolStr>,
}
