//! Reads of the target list, and the updates that VMs send about them.

use super::TargetEntry;
use crate::StoreVersion;
use smol_str::SmolStr;
use std::time::Duration;

/// Result of one read of the target list from the store.
///
/// Each name is in at most one of the lists, by its last change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetListRead {
    /// Version of the store that the read reflects.
    pub version: StoreVersion,
    /// True for a full read, false for an incremental one that holds only changes.
    pub is_full: bool,
    /// Entries that could be decoded.
    pub entries: Vec<TargetEntry>,
    /// Names of the targets whose entries were removed.
    pub removed: Vec<SmolStr>,
    /// Names under which there is an entry that cannot be decoded.
    pub unreadable: Vec<SmolStr>,
}

/// What the entries of a [`TargetListUpdate`] are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum UpdateContent {
    /// All changes from the base to the version.
    #[default]
    Changes,
    /// The complete list at the version.
    Full,
    /// Nothing: the changes do not fit into a message. A receiver that lacks them
    /// fetches them.
    Omitted,
}

/// Changes of the target list, sent to peers so that they need not read the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetListUpdate {
    /// Version of the store that the changes are relative to.
    pub base: StoreVersion,
    /// Version of the store that the changes lead to.
    pub version: StoreVersion,
    /// Newest revision of the configuration at the time of the read.
    pub revision: u64,
    /// Time since the read.
    pub age: Duration,
    /// Rest of the settle period after the store's return, in which a removed
    /// entry may only have expired.
    pub settle_left: Duration,
    /// New or changed entries.
    pub entries: Vec<TargetEntry>,
    /// Names of the targets whose entries were removed.
    pub removed: Vec<SmolStr>,
    /// Names under which there is an entry that cannot be decoded.
    pub unreadable: Vec<SmolStr>,
    /// What the entries are.
    pub content: UpdateContent,
    /// Digest of the complete list at `version`. A receiver whose list would have
    /// another digest after the update lacks a change.
    pub digest: u64,
}

impl TargetListUpdate {
    /// Returns the update without its changes, which still announces the version and its age.
    pub fn omit_changes(&self) -> Self {
        Self {
            entries: Vec::new(),
            removed: Vec::new(),
            unreadable: Vec::new(),
            content: UpdateContent::Omitted,
            ..self.clone()
        }
    }
}
