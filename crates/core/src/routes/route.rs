//! One route, and the services and limits that a configuration holds beside its routes.

use super::{Split, SplitPart};
use crate::{ClassKind, ClassSpec, MethodSet, RouteMatch};
use smol_str::{SmolStr, format_smolstr};
use std::time::Duration;

/// One route: requests of a host below a path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, unique in the configuration.
    pub name: SmolStr,
    /// Path prefix; it begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether a request may run more than once.
    pub kind: ClassKind,
    /// Longest time for which a caller waits.
    pub timeout: Duration,
    /// Time within which an answer meets the latency objective.
    pub objective: Duration,
    /// Rank; 0 is served first.
    pub priority: u8,
    /// Maximum number of targets that one request is sent to.
    pub max_attempts: u8,
    /// Services that share the requests.
    pub split: Split,
    /// True if requests need no key where the configuration has workspaces.
    pub is_public: bool,
}

impl Route {
    /// Maximum number of requests of one class that wait on one VM. Each takes
    /// some kilobytes, so that a full queue fits in the memory of a small VM.
    const QUEUE: u16 = 1_024;

    /// Returns the services that share the requests of the route, with their weights.
    pub fn get_parts(&self) -> &[SplitPart] {
        self.split.get_parts()
    }

    /// Returns the class in which the route's requests with a priority are handled; the
    /// priority is that of the route or of the caller's workspace.
    ///
    /// Routes with equal requirements share a class, so that a configuration
    /// with many routes needs few classes.
    pub fn make_class(&self, priority: u8) -> ClassSpec {
        ClassSpec {
            name: format_smolstr!(
                "{}-p{}-{}ms-{}ms-a{}",
                self.kind.as_str(),
                priority,
                self.objective.as_millis(),
                self.timeout.as_millis(),
                self.max_attempts
            ),
            route: RouteMatch {
                methods: MethodSet::default(),
                prefix: "/".into(),
            },
            kind: self.kind,
            deadline: self.timeout,
            reserve: 0,
            queue: Self::QUEUE,
            objective: Some(self.objective),
            priority,
            max_attempts: self.max_attempts,
        }
    }
}

/// The routes of one host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostRoutes {
    /// Host name in lower case, without a port.
    pub host: SmolStr,
    /// Routes in any order.
    pub routes: Vec<Route>,
}

/// A service that routes refer to.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutedService {
    /// Name that targets and routes use.
    pub name: SmolStr,
    /// Path of the targets' health check.
    pub health_path: SmolStr,
    /// Connections that a target accepts from all callers together.
    pub max_connections: u16,
    /// What a target bears just after its start, if the service has such a limit.
    pub cold: Option<ColdRate>,
}

/// Requests that a cold target bears; well above that rate it crashes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRate {
    /// Time for which a target is cold after its start.
    pub warm_up: Duration,
    /// Requests a second that one cold target bears, over the whole fleet.
    pub per_second: f64,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub max_header_bytes: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request head.
    pub header_timeout: Duration,
    /// Time after which an idle connection may be closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits before any configuration is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
