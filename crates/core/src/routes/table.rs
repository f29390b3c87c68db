//! All routes of one configuration.

use super::{CallerLimits, HostRoutes, Route, RoutedService};
use crate::{ClassSpec, WorkspaceSpec, WorkspaceTable};
use smol_str::SmolStr;

/// A configuration as it is in force: routes by host, services and limits.
///
/// ```
/// use gentianridge_core::{CallerLimits, RouteTable};
///
/// let table = RouteTable::new(7, Vec::new(), Vec::new(), CallerLimits::default());
/// assert_eq!(table.get_version(), 7);
/// assert!(table.find("shop.example", "/cart/1").is_none());
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    version: u64,
    hosts: Vec<HostEntry>,
    services: Vec<RoutedService>,
    limits: CallerLimits,
    workspaces: Option<WorkspaceTable>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct HostEntry {
    host: SmolStr,
    routes: Vec<RouteEntry>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct RouteEntry {
    route: Route,
    /// Names of the route's classes by priority, computed once because each request
    /// needs one.
    classes: Vec<(u8, SmolStr)>,
}

/// Position of a route in its table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteKey {
    host: u32,
    route: u32,
}

impl RouteTable {
    /// Creates a table; hosts, routes and services may be in any order.
    pub fn new(
        version: u64,
        hosts: Vec<HostRoutes>,
        mut services: Vec<RoutedService>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: Vec<HostEntry> = hosts.into_iter().map(HostEntry::new).collect();
        hosts.sort_by(|a, b| a.host.cmp(&b.host));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            version,
            hosts,
            services,
            limits,
            workspaces: None,
        }
    }

    /// Adds the workspaces whose keys requests need.
    pub fn with_workspaces(mut self, workspaces: WorkspaceTable) -> Self {
        for entry in self.hosts.iter_mut().flat_map(|host| &mut host.routes) {
            let route = &entry.route;
            let priorities = workspaces.collect_priorities(route.priority, route.is_public);
            entry.set_priorities(&priorities);
        }
        self.workspaces = Some(workspaces);
        self
    }

    /// Returns the workspaces, `None` if the configuration has none and requests need no
    /// key.
    pub fn get_workspaces(&self) -> Option<&WorkspaceTable> {
        self.workspaces.as_ref()
    }

    /// Returns the version of the configuration.
    pub fn get_version(&self) -> u64 {
        self.version
    }

    /// Returns the services in the order of their names.
    pub fn get_services(&self) -> &[RoutedService] {
        &self.services
    }

    /// Returns the limits for callers.
    pub fn get_limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the number of routes.
    pub fn count_routes(&self) -> usize {
        self.hosts.iter().map(|host| host.routes.len()).sum()
    }

    /// Returns the route of the host with the longest prefix of the path.
    ///
    /// `host` may include a port, and its case does not matter. `path` excludes
    /// the query.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let host = self
            .hosts
            .binary_search_by(|entry| entry.host.as_str().cmp(&name))
            .ok()?;
        let route = find_longest(&self.hosts[host].routes, path)?;
        Some(RouteKey {
            host: host as u32,
            route: route as u32,
        })
    }

    /// Returns the route for a key that [`Self::find`] of this table returned.
    pub fn get(&self, key: RouteKey) -> &Route {
        &self.get_entry(key).route
    }

    /// Returns the name of the class in which the route's requests from a workspace are
    /// handled, or those of callers without one. The priority of the workspace goes before
    /// that of the route.
    ///
    /// `None` is returned for callers that the route does not admit.
    pub fn get_class_name(
        &self,
        key: RouteKey,
        workspace: Option<&WorkspaceSpec>,
    ) -> Option<&SmolStr> {
        let entry = self.get_entry(key);
        let own = workspace.and_then(|workspace| workspace.priority);
        let priority = own.unwrap_or(entry.route.priority);
        let classes = &entry.classes;
        let index = classes.binary_search_by_key(&priority, |(priority, _)| *priority);
        Some(&classes[index.ok()?].1)
    }

    /// Chooses the service for the next request of a route.
    pub fn next_service(&mut self, key: RouteKey) -> Option<SmolStr> {
        let entry = &mut self.hosts[key.host as usize].routes[key.route as usize];
        entry
            .route
            .split
            .next_part()
            .map(|part| part.service.clone())
    }

    /// Returns the service that [`Self::next_service`] would choose, without choosing it.
    pub fn peek_service(&self, key: RouteKey) -> Option<SmolStr> {
        let mut split = self.get(key).split.clone();
        split.next_part().map(|part| part.service.clone())
    }

    /// Moves the rotation of every split by `steps`.
    pub fn rotate_splits(&mut self, steps: u32) {
        for host in &mut self.hosts {
            for entry in &mut host.routes {
                entry.route.split.rotate(steps);
            }
        }
    }

    /// Returns the classes of the routes that refer to a service.
    pub fn collect_classes(&self, service: &str) -> Vec<ClassSpec> {
        let mut classes: Vec<ClassSpec> = self
            .hosts
            .iter()
            .flat_map(|host| &host.routes)
            .filter(|entry| {
                let mut parts = entry.route.get_parts().iter();
                parts.any(|part| part.service == service)
            })
            .flat_map(|entry| {
                let priorities = entry.classes.iter().map(|(priority, _)| *priority);
                priorities.map(|priority| entry.route.make_class(priority))
            })
            .collect();
        classes.sort_by(|a, b| a.name.cmp(&b.name));
        classes.dedup_by(|a, b| a.name == b.name);
        classes
    }

    fn get_entry(&self, key: RouteKey) -> &RouteEntry {
        &self.hosts[key.host as usize].routes[key.route as usize]
    }
}

impl HostEntry {
    fn new(host: HostRoutes) -> Self {
        let mut routes: Vec<RouteEntry> = host.routes.into_iter().map(RouteEntry::new).collect();
        routes.sort_by(|a, b| a.route.prefix.cmp(&b.route.prefix));
        Self {
            host: host.host,
            routes,
        }
    }
}

impl RouteEntry {
    fn new(route: Route) -> Self {
        let priority = route.priority;
        let mut entry = Self {
            route,
            classes: Vec::new(),
        };
        entry.set_priorities(&[priority]);
        entry
    }

    /// Replaces the classes by one for each priority, which are in ascending order.
    fn set_priorities(&mut self, priorities: &[u8]) {
        let priorities = priorities.iter();
        self.classes = priorities
            .map(|priority| (*priority, self.route.make_class(*priority).name))
            .collect();
    }
}

/// Looks up each prefix of the path that ends with a slash, the longest first.
fn find_longest(routes: &[RouteEntry], path: &str) -> Option<usize> {
    let mut end = path.len();
    while let Some(slash) = path[..end].rfind('/') {
        let prefix = &path[..=slash];
        let found = routes.binary_search_by(|entry| entry.route.prefix.as_str().cmp(prefix));
        if let Ok(index) = found {
            return Some(index);
        }
        end = slash;
    }
    None
}
