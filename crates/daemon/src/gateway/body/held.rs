//! A body that is held whole, so that it can be sent again.

use super::blocks::BlockBuffer;
use crate::gateway::memory::{ConnectionMemory, Reservation};
use bytes::Bytes;
use gentianridge_core::ResultCode;
use std::rc::Rc;

/// The parts of a body, and the memory that they take.
#[derive(Debug)]
pub(crate) struct HeldBody {
    blocks: Rc<[Bytes]>,
    length: usize,
    _memory: Reservation,
}

impl HeldBody {
    pub(crate) fn get_blocks(&self) -> &Rc<[Bytes]> {
        &self.blocks
    }

    pub(crate) fn get_length(&self) -> usize {
        self.length
    }
}

/// A caller's body that arrives; its blocks are reserved before they are allocated.
#[derive(Debug)]
pub(super) struct HeldBuilder {
    buf: BlockBuffer,
    memory: Reservation,
}

impl HeldBuilder {
    pub(super) fn new(memory: &ConnectionMemory) -> Self {
        Self {
            buf: BlockBuffer::default(),
            memory: memory.reserve_nothing(),
        }
    }

    pub(super) fn get_length(&self) -> usize {
        self.buf.get_length()
    }

    /// Appends bytes; `expected` is the length of the whole body, if it is known.
    pub(super) async fn push(
        &mut self,
        memory: &ConnectionMemory,
        data: &[u8],
        expected: Option<usize>,
    ) -> Result<(), ResultCode> {
        let mut left = self.buf.fill(data);
        while !left.is_empty() {
            let size = self.buf.get_next_size(expected);
            self.memory.merge(memory.reserve(size).await?);
            self.buf.start_block(size);
            left = self.buf.fill(left);
        }
        Ok(())
    }

    pub(super) fn build(self) -> HeldBody {
        HeldBody {
            length: self.buf.get_length(),
            blocks: self.buf.into_blocks().into(),
            _memory: self.memory,
        }
    }
}
