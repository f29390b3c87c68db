//! The declaration of one workspace.

use smol_str::SmolStr;

/// Requests that the fleet admits for a workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests a second over the whole fleet.
    pub per_second: f64,
    /// Requests that may come beside these at once.
    pub burst: f64,
}

/// A workspace as the configuration declares it.
#[derive(Clone, PartialEq)]
pub struct WorkspaceSpec {
    /// Name, which targets receive with each request.
    pub name: SmolStr,
    /// Secrets by which callers show that they belong to the workspace.
    pub api_keys: Vec<SmolStr>,
    /// Rank of the workspace's requests in place of that of their routes; 0 is first.
    pub priority: Option<u8>,
    /// Limit over the fleet, `None` for no limit.
    pub limit: Option<RateLimit>,
}

impl std::fmt::Debug for WorkspaceSpec {
    /// Leaves out the secrets, which must not reach a log.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("WorkspaceSpec")
            .field("name", &self.name)
            .field("api_keys", &self.api_keys.len())
            .field("priority", &self.priority)
            .field("limit", &self.limit)
            .finish()
    }
}
