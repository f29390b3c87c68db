//! The HTTP paths of operators and of the platform's balancer.

mod auth;
mod paths;
mod status;

pub(crate) use paths::operator_routes;
