//! The platform's store with a breaker in front.

mod breaker;

pub(crate) use breaker::{Store, add_jitter};
