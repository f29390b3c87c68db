//! Bytes that are copied into blocks of their own.

use bytes::{Bytes, BytesMut};

/// A body that arrives, as blocks whose size is known before they are allocated.
///
/// The HTTP library's own parts are slices of its read buffers and keep these alive, one for
/// each chunk in the worst case. A single growing buffer would be copied as it grows.
#[derive(Debug, Default)]
pub(super) struct BlockBuffer {
    full: Vec<Bytes>,
    block: BytesMut,
    length: usize,
}

impl BlockBuffer {
    /// Size of the first block in bytes if the length of the body is unknown.
    const FIRST_BLOCK: usize = 1_024;
    /// Largest block in bytes.
    const MAX_BLOCK: usize = 64 * 1024;

    /// Returns the number of bytes held.
    pub(super) fn get_length(&self) -> usize {
        self.length
    }

    /// Copies bytes into the current block; returns those that it has no room for.
    pub(super) fn fill<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        let free = self.block.capacity() - self.block.len();
        let (now, later) = data.split_at(free.min(data.len()));
        self.block.extend_from_slice(now);
        self.length += now.len();
        later
    }

    /// Returns the size of the next block; `expected` is the length of the whole body, if it
    /// is known.
    pub(super) fn get_next_size(&self, expected: Option<usize>) -> usize {
        let doubled = (self.block.capacity() * 2).max(Self::FIRST_BLOCK);
        let missing = expected.and_then(|length| length.checked_sub(self.length));
        let size = missing.filter(|size| *size > 0).unwrap_or(doubled);
        size.min(Self::MAX_BLOCK)
    }

    /// Starts another block.
    pub(super) fn start_block(&mut self, size: usize) {
        let full = std::mem::replace(&mut self.block, BytesMut::with_capacity(size));
        if !full.is_empty() {
            self.full.push(full.freeze());
        }
    }

    /// Returns the blocks.
    pub(super) fn into_blocks(mut self) -> Vec<Bytes> {
        if !self.block.is_empty() {
            self.full.push(self.block.freeze());
        }
        self.full
    }
}
