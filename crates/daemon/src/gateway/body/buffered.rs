//! The start of a target's answer, buffered before its first byte is forwarded.

use super::blocks::BlockBuffer;
use crate::gateway::memory::Reservation;
use bytes::Bytes;

/// A target's body that arrives; its blocks are reserved before they are allocated.
#[derive(Debug)]
pub(crate) struct AnswerBuffer {
    buf: BlockBuffer,
    memory: Reservation,
    /// Length of the whole body, if the target states it.
    expected: Option<usize>,
}

impl AnswerBuffer {
    /// Creates an empty buffer; `memory` is extended as the body arrives.
    pub(crate) fn new(memory: Reservation, expected: Option<u64>) -> Self {
        Self {
            buf: BlockBuffer::default(),
            memory,
            expected: expected.and_then(|length| usize::try_from(length).ok()),
        }
    }

    /// Returns the number of bytes held.
    pub(crate) fn get_length(&self) -> usize {
        self.buf.get_length()
    }

    /// Appends bytes; returns those for which there is no memory.
    pub(crate) fn push<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        let mut left = self.buf.fill(data);
        while !left.is_empty() {
            let size = self.buf.get_next_size(self.expected);
            if !self.memory.try_grow(size) {
                break;
            }
            self.buf.start_block(size);
            left = self.buf.fill(left);
        }
        left
    }

    /// Returns the blocks and their memory.
    pub(crate) fn into_parts(self) -> (Vec<Bytes>, Reservation) {
        (self.buf.into_blocks(), self.memory)
    }
}
