//! Time sources of the core.

mod hybrid;
mod source;
mod span;

pub use hybrid::{HybridClock, HybridTime};
pub use source::Clock;
pub use span::{MAX_SPAN, add_span};
