//! The platform's store behind a circuit breaker.

mod breaker;

pub(crate) use breaker::{Store, add_jitter};
