//! All routes of one configuration.

use super::{CallerLimits, HostRoutes, Route, RoutedService};
use crate::{ClassSpec, WorkspaceTable};
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
    /// Name of the route's class, computed once because each request needs it.
    class: SmolStr,
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

    /// Returns the name of the class in which the route's requests are handled.
    pub fn get_class_name(&self, key: RouteKey) -> &SmolStr {
        &self.get_entry(key).class
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
            .map(|entry| &entry.route)
            .filter(|route| route.get_parts().iter().any(|part| part.service == service))
            .map(Route::make_class)
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
        let mut routes: Vec<RouteEntry> = host
            .routes
            .into_iter()
            .map(|route| RouteEntry {
                class: route.make_class().name,
                route,
            })
            .collect();
        routes.sort_by(|a, b| a.route.prefix.cmp(&b.route.prefix));
        Self {
            host: host.host,
            routes,
        }
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
