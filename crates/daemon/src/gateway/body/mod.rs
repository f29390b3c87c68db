//! Bodies of callers' requests, held whole or forwarded as they arrive, and of answers.

mod blocks;
mod buffered;
mod flow;
mod held;
mod outgoing;
mod pace;
mod read;

pub(crate) use buffered::AnswerBuffer;
pub(crate) use outgoing::OutgoingBody;
pub(crate) use read::{RequestBody, read_body};
