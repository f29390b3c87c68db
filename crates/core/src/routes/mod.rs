//! Routes that operators publish: which service takes a request, and how.
//!
//! docs/decisions/0013-platform.md describes where they come from.

mod route;
mod split;
mod table;

pub use route::{CallerLimits, ColdRate, HostRoutes, Route, RoutedService};
pub use split::{Split, SplitPart};
pub use table::{RouteKey, RouteTable};
