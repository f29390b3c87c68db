//! Events that form the timeline.

mod kind;
mod ring;

pub use kind::{Event, EventKind};
pub use ring::EventRing;
