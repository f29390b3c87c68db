//! Lookup of workspaces by their keys.

use super::{WorkspaceFault, WorkspaceSpec};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// Finds the holder of a key in a time that depends neither on the number of keys nor on
/// how much of a wrong key is right.
///
/// Keys are hashed with a secret of this process, so that callers can neither choose keys
/// that collide nor learn from the time of a lookup how close a guess is. Only a key with
/// the full hash of a held one is compared, in constant time.
#[derive(Debug, Clone, Default)]
pub(super) struct KeyIndex {
    hasher: RandomState,
    holders: HashMap<u64, Holder>,
}

/// Position of a key.
#[derive(Debug, Clone, Copy)]
enum Holder {
    Only {
        workspace: u32,
        key: u32,
    },
    /// More than one workspace holds the key.
    Several,
}

impl KeyIndex {
    /// Creates an index of the keys of all workspaces, and adds what prevents the use of
    /// some of them to `faults`.
    pub(super) fn new(workspaces: &[Arc<WorkspaceSpec>], faults: &mut Vec<WorkspaceFault>) -> Self {
        let mut index = Self::default();
        for (number, workspace) in workspaces.iter().enumerate() {
            if workspace.name.is_empty()
                || workspace.name.bytes().any(|byte| byte.is_ascii_control())
            {
                faults.push(WorkspaceFault::UnusableName {
                    workspace: workspace.name.clone(),
                });
                continue;
            }
            for (key, text) in workspace.api_keys.iter().enumerate() {
                let holder = Holder::Only {
                    workspace: number as u32,
                    key: key as u32,
                };
                index.insert(workspaces, text, holder, faults);
            }
        }
        index
    }

    /// Two keys with one hash are treated as one key. For different keys that is as
    /// improbable as a guess of a key.
    fn insert(
        &mut self,
        workspaces: &[Arc<WorkspaceSpec>],
        text: &str,
        holder: Holder,
        faults: &mut Vec<WorkspaceFault>,
    ) {
        let held = match self.holders.entry(self.hasher.hash_one(text)) {
            Entry::Vacant(free) => {
                free.insert(holder);
                return;
            }
            Entry::Occupied(held) => held.into_mut(),
        };
        let (Holder::Only { workspace: a, .. }, Holder::Only { workspace: b, .. }) =
            (*held, holder)
        else {
            return;
        };
        let names = [a, b].map(|number| workspaces[number as usize].name.clone());
        if names[0] != names[1] {
            faults.push(WorkspaceFault::SharedKey { workspaces: names });
            *held = Holder::Several;
        }
    }

    /// Returns the position of the workspace that alone holds the key.
    pub(super) fn find(&self, workspaces: &[Arc<WorkspaceSpec>], text: &str) -> Option<usize> {
        let Holder::Only { workspace, key } = *self.holders.get(&self.hasher.hash_one(text))?
        else {
            return None;
        };
        let held = &workspaces[workspace as usize].api_keys[key as usize];
        bool::from(held.as_bytes().ct_eq(text.as_bytes())).then_some(workspace as usize)
    }
}
