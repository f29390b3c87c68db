//! Names of workspaces that metrics show.

use smol_str::SmolStr;
use std::cell::RefCell;

/// Gives the first workspaces labels of their own, and all others one together: each label
/// is kept for the life of the process, and configurations name thousands of workspaces.
#[derive(Debug, Default)]
pub(super) struct WorkspaceLabels {
    /// Names in their order.
    names: RefCell<Vec<SmolStr>>,
}

impl WorkspaceLabels {
    /// Number of workspaces with a label of their own: some kilobytes of metrics.
    const MAX: usize = 200;
    /// Label of all other workspaces.
    const OTHER: SmolStr = SmolStr::new_static("other");

    /// Returns the label of a workspace.
    pub(super) fn get(&self, name: &SmolStr) -> SmolStr {
        let mut names = self.names.borrow_mut();
        match names.binary_search(name) {
            Ok(_) => name.clone(),
            Err(index) if names.len() < Self::MAX => {
                names.insert(index, name.clone());
                name.clone()
            }
            Err(_) => Self::OTHER,
        }
    }
}
