//! Streams below the HTTP library, which bound what it leaves unbounded.

mod target;
mod yielding;

pub(crate) use target::{AnswerOverhead, TargetStream};
pub(crate) use yielding::YieldingStream;
