//! The platform's store with a breaker in front.

mod gate;

pub(crate) use gate::{Store, jittered};
