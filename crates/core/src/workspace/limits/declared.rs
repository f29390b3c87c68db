//! Limits as the configuration declares them.

use super::super::{RateLimit, WorkspaceKey};
use std::time::Duration;

/// A limit of the configuration in force, or one that was removed lately.
#[derive(Debug, Clone, Copy)]
pub(super) struct DeclaredLimit {
    pub(super) key: WorkspaceKey,
    pub(super) limit: RateLimit,
    /// Time since which nothing is known of tokens that were spent before; `None` if
    /// none were.
    pub(super) since: Option<Duration>,
    removed_at: Option<Duration>,
}

impl DeclaredLimit {
    pub(super) fn new(key: WorkspaceKey, limit: RateLimit, since: Option<Duration>) -> Self {
        Self {
            key,
            limit,
            since,
            removed_at: None,
        }
    }

    pub(super) fn is_declared(&self) -> bool {
        self.removed_at.is_none()
    }

    /// Returns the entry of the removed limit, `None` once it was removed `retention` ago.
    pub(super) fn remove(&self, now: Duration, retention: Duration) -> Option<Self> {
        let removed_at = self.removed_at.unwrap_or(now);
        let is_recent = now.saturating_sub(removed_at) < retention;
        is_recent.then_some(Self {
            removed_at: Some(removed_at),
            ..*self
        })
    }
}
