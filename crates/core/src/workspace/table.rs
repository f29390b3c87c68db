//! The workspaces of one configuration.

use super::key_index::KeyIndex;
use super::{WorkspaceFault, WorkspaceSpec};
use std::sync::Arc;

/// Workspaces in the order of their names, and the holders of keys.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceTable {
    workspaces: Vec<Arc<WorkspaceSpec>>,
    keys: KeyIndex,
    faults: Vec<WorkspaceFault>,
}

impl WorkspaceTable {
    /// Creates a table; the workspaces may be in any order.
    pub fn new(workspaces: Vec<WorkspaceSpec>) -> Self {
        let mut workspaces: Vec<_> = workspaces.into_iter().map(Arc::new).collect();
        workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        let mut faults = Vec::new();
        let keys = KeyIndex::new(&workspaces, &mut faults);
        Self {
            workspaces,
            keys,
            faults,
        }
    }

    /// Returns the workspaces in the order of their names.
    pub fn get_all(&self) -> &[Arc<WorkspaceSpec>] {
        &self.workspaces
    }

    /// Returns the workspace that holds a key, `None` if there is none or more than one.
    pub fn find_by_key(&self, key: &str) -> Option<&Arc<WorkspaceSpec>> {
        let index = self.keys.find(&self.workspaces, key)?;
        Some(&self.workspaces[index])
    }

    /// Returns what the configuration declares and cannot take effect.
    pub fn get_faults(&self) -> &[WorkspaceFault] {
        &self.faults
    }

    /// Returns the priorities that requests of a route with the priority `of_route` may
    /// have, in ascending order.
    pub(crate) fn collect_priorities(&self, of_route: u8, is_public: bool) -> Vec<u8> {
        let own = self
            .workspaces
            .iter()
            .map(|workspace| workspace.priority.unwrap_or(of_route));
        let mut priorities: Vec<u8> = own.chain(is_public.then_some(of_route)).collect();
        priorities.sort_unstable();
        priorities.dedup();
        priorities
    }
}

/// Two tables are equal if they declare the same workspaces; the secret of the index is
/// another in each.
impl PartialEq for WorkspaceTable {
    fn eq(&self, other: &Self) -> bool {
        self.workspaces == other.workspaces
    }
}
