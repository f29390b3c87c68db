//! The HTTP paths of operators and of the platform's balancer.

mod auth;
mod paths;
mod status;

pub(crate) use paths::make_operator_endpoint;
