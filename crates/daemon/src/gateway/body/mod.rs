//! Bodies of callers' requests: held whole, or forwarded as they arrive.

mod flow;
mod held;
mod outgoing;
mod pace;
mod read;

pub(crate) use outgoing::OutgoingBody;
pub(crate) use read::{RequestBody, read_body};
