//! Classes of calls.

use smol_str::SmolStr;
use std::time::Duration;

/// Treatment of the calls of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClassKind {
    /// A caller waits for the answer; the work may be repeated.
    Interactive,
    /// The work must run at most once.
    Once,
    /// Long work that can wait; it may be repeated.
    Background,
}

impl ClassKind {
    /// Returns the name of the kind in the operators' file.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Once => "once",
            Self::Background => "background",
        }
    }

    /// Returns true if a failed attempt may be repeated.
    pub fn is_idempotent(self) -> bool {
        !matches!(self, Self::Once)
    }
}

/// A set of HTTP methods; the empty set matches every method.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MethodSet {
    names: Vec<SmolStr>,
}

impl MethodSet {
    /// Creates a set from method names in upper case.
    pub fn new(mut names: Vec<SmolStr>) -> Self {
        names.sort();
        names.dedup();
        Self { names }
    }

    /// Returns true if the set holds the method.
    pub fn is_match(&self, method: &str) -> bool {
        self.names.is_empty()
            || self
                .names
                .binary_search_by(|name| name.as_str().cmp(method))
                .is_ok()
    }
}

/// Condition for the calls that a class or service takes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteMatch {
    /// Methods that match.
    pub methods: MethodSet,
    /// Path prefix that matches, up to the end of a path segment.
    pub prefix: SmolStr,
}

impl RouteMatch {
    /// Returns true if the request matches.
    pub fn is_match(&self, method: &str, path: &str) -> bool {
        self.methods.is_match(method) && is_prefix(&self.prefix, path)
    }
}

fn is_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/')
}

/// One class of calls of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassSpec {
    /// Name, unique within the service.
    pub name: SmolStr,
    /// Calls that the class takes.
    pub route: RouteMatch,
    /// Treatment of the calls.
    pub kind: ClassKind,
    /// Longest time from arrival to the first byte of the answer.
    pub deadline: Duration,
    /// Slots of the entire service that background work leaves free for this class.
    pub reserve: u16,
    /// Maximum number of calls that wait on one VM.
    pub queue: u16,
    /// Time within which an answer meets the latency objective, if it is shorter
    /// than the deadline; a call that cannot be answered by then is not queued.
    pub objective: Option<Duration>,
    /// Rank among the classes of the service; 0 is served first.
    pub priority: u8,
    /// Maximum number of targets that one call is sent to.
    pub max_attempts: u8,
}

impl ClassSpec {
    /// Maximum number of targets that one call is sent to by default.
    pub const DEFAULT_MAX_ATTEMPTS: u8 = 4;

    /// Returns the time within which an answer meets the latency objective.
    pub fn get_objective(&self) -> Duration {
        self.objective
            .map_or(self.deadline, |objective| objective.min(self.deadline))
    }
}
