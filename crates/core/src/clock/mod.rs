//! Time as the core sees it.

mod hybrid;
mod source;

pub use hybrid::{HybridClock, HybridTime};
pub use source::Clock;
