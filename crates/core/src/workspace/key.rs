//! Keys of workspaces.

use xxhash_rust::xxh3::xxh3_64;

/// Identifies a workspace on every VM and across configurations.
///
/// It is derived from the name, so that VMs exchange it in place of the name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceKey(u64);

impl WorkspaceKey {
    /// Returns the key of the workspace with a name.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }

    /// Returns the key that a message holds.
    pub fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number that messages hold.
    pub fn get_number(self) -> u64 {
        self.0
    }
}
