//! A body that is held whole, so that it can be sent again.

use crate::gateway::memory::{ConnectionMemory, Reservation};
use bytes::{Bytes, BytesMut};
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

/// A body that arrives.
///
/// The bytes are copied into blocks that are reserved before they are allocated. The HTTP
/// library's own parts would keep its read buffers alive, one for each chunk in the worst
/// case, and a single growing buffer would be copied as it grows.
#[derive(Debug)]
pub(super) struct HeldBuilder {
    full: Vec<Bytes>,
    block: BytesMut,
    length: usize,
    memory: Reservation,
}

impl HeldBuilder {
    /// Size of the first block in bytes if the length of the body is unknown.
    const FIRST_BLOCK: usize = 1_024;
    /// Largest block in bytes.
    const MAX_BLOCK: usize = 64 * 1024;

    pub(super) fn new(memory: &ConnectionMemory) -> Self {
        Self {
            full: Vec::new(),
            block: BytesMut::new(),
            length: 0,
            memory: memory.reserve_nothing(),
        }
    }

    pub(super) fn get_length(&self) -> usize {
        self.length
    }

    /// Appends bytes; `expected` is the length of the whole body, if it is known.
    pub(super) async fn push(
        &mut self,
        memory: &ConnectionMemory,
        mut data: &[u8],
        expected: Option<usize>,
    ) -> Result<(), ResultCode> {
        while !data.is_empty() {
            let free = self.block.capacity() - self.block.len();
            if free == 0 {
                self.add_block(memory, expected).await?;
                continue;
            }
            let (now, later) = data.split_at(free.min(data.len()));
            self.block.extend_from_slice(now);
            self.length += now.len();
            data = later;
        }
        Ok(())
    }

    async fn add_block(
        &mut self,
        memory: &ConnectionMemory,
        expected: Option<usize>,
    ) -> Result<(), ResultCode> {
        let doubled = (self.block.capacity() * 2).max(Self::FIRST_BLOCK);
        let missing = expected.and_then(|length| length.checked_sub(self.length));
        let size = missing.filter(|size| *size > 0).unwrap_or(doubled);
        let size = size.min(Self::MAX_BLOCK);
        self.memory.merge(memory.reserve(size).await?);
        let full = std::mem::replace(&mut self.block, BytesMut::with_capacity(size));
        if !full.is_empty() {
            self.full.push(full.freeze());
        }
        Ok(())
    }

    pub(super) fn build(mut self) -> HeldBody {
        if !self.block.is_empty() {
            self.full.push(self.block.freeze());
        }
        HeldBody {
            blocks: self.full.into(),
            length: self.length,
            _memory: self.memory,
        }
    }
}
