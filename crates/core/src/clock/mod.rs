//! Time sources of the core.

mod hybrid;
mod source;

pub use hybrid::{HybridClock, HybridTime};
pub use source::Clock;
