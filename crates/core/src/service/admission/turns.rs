//! Turns of workspaces at a full service.

use crate::WorkspaceKey;
use std::time::Duration;

/// The turn of one call: a span of the work that the service has given out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Turn {
    /// Work given to each waiting workspace before this call, in microseconds.
    pub(crate) start: u64,
    /// Work of the call in microseconds.
    work: u64,
}

/// Start-time fair queueing: a call starts its turn where the previous call of its workspace
/// ends, but not before the turn that is served now.
///
/// A workspace with many waiting calls therefore waits behind the first calls of all others,
/// and one that was idle saves nothing up.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    /// Start of the latest turn that was served.
    served: u64,
    /// Ends of the last turns of workspaces, sorted by key.
    ends: Vec<(WorkspaceKey, u64)>,
}

impl Turns {
    /// Workspaces whose turns are kept, which bounds the memory; further ones are served as
    /// if they had been idle.
    const MAX_WORKSPACES: usize = 1_024;

    /// Returns the turn that the next call of the workspace would get.
    pub(crate) fn preview(&self, workspace: Option<WorkspaceKey>, work: Duration) -> Turn {
        let Some(workspace) = workspace else {
            return Turn::default();
        };
        let end = match self.find(workspace) {
            Ok(index) => self.ends[index].1,
            Err(_) => 0,
        };
        Turn {
            start: end.max(self.served),
            work: (work.as_micros() as u64).max(1),
        }
    }

    /// Records that a call of the workspace waits with the turn.
    pub(crate) fn take(&mut self, workspace: Option<WorkspaceKey>, turn: Turn) {
        let Some(workspace) = workspace else {
            return;
        };
        let end = turn.start + turn.work;
        match self.find(workspace) {
            Ok(index) => self.ends[index].1 = end,
            Err(_) => self.insert(workspace, end),
        }
    }

    /// Records that a waiting call was dispatched.
    pub(crate) fn serve(&mut self, turn: Turn) {
        self.served = self.served.max(turn.start);
    }

    /// Gives the turn of a call back that left the queue without being dispatched.
    pub(crate) fn give_back(&mut self, workspace: Option<WorkspaceKey>, turn: Turn) {
        let Some(workspace) = workspace else {
            return;
        };
        if let Ok(index) = self.find(workspace) {
            let end = &mut self.ends[index].1;
            *end = end.saturating_sub(turn.work);
        }
    }

    fn insert(&mut self, workspace: WorkspaceKey, end: u64) {
        if self.ends.len() >= Self::MAX_WORKSPACES {
            let served = self.served;
            self.ends.retain(|(_, end)| *end > served);
        }
        if self.ends.len() < Self::MAX_WORKSPACES
            && let Err(index) = self.find(workspace)
        {
            self.ends.insert(index, (workspace, end));
        }
    }

    fn find(&self, workspace: WorkspaceKey) -> Result<usize, usize> {
        self.ends.binary_search_by_key(&workspace, |(key, _)| *key)
    }
}
