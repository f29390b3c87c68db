//! The workspaces of one configuration.

use super::WorkspaceSpec;
use std::sync::Arc;

/// Workspaces in the order of their names.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkspaceTable {
    workspaces: Vec<Arc<WorkspaceSpec>>,
}

impl WorkspaceTable {
    /// Creates a table; the workspaces may be in any order.
    pub fn new(workspaces: Vec<WorkspaceSpec>) -> Self {
        let mut workspaces: Vec<_> = workspaces.into_iter().map(Arc::new).collect();
        workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        Self { workspaces }
    }

    /// Returns the workspaces in the order of their names.
    pub fn get_all(&self) -> &[Arc<WorkspaceSpec>] {
        &self.workspaces
    }
}
