//! Events of the time line.

mod kind;
mod ring;

pub use kind::{Event, EventKind};
pub use ring::EventRing;
