//! Bound on what a target sends beside its answers.

use crate::gateway::counted::CountedStream;
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that a target has sent since its answer made progress: since the request was sent,
/// its head was complete or a part of its body was taken.
#[derive(Debug, Default)]
pub(super) struct AnswerOverhead {
    bytes: Cell<usize>,
}

impl AnswerOverhead {
    /// Most bytes without progress. The largest buffer of the HTTP library holds a head, and
    /// it may read two more of them before the first part of the body is taken. Interim
    /// answers and the framing of chunks are far below that.
    pub(super) const MAX_BYTES: usize = 256 * 1024;

    pub(super) fn record_progress(&self) {
        self.bytes.set(0);
    }

    fn add(&self, bytes: usize) -> io::Result<()> {
        let sum = self.bytes.get().saturating_add(bytes);
        self.bytes.set(sum);
        if sum > Self::MAX_BYTES {
            let text = format!("the target sent {sum} bytes that are no part of an answer");
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        Ok(())
    }
}

/// Stream of a connection to a target; reads fail beyond [`AnswerOverhead::MAX_BYTES`].
///
/// The HTTP library bounds a head, an extension and trailers, and neither interim answers
/// nor the digits of a chunk's size.
#[derive(Debug)]
pub(super) struct TargetStream {
    stream: CountedStream,
    overhead: Rc<AnswerOverhead>,
}

impl TargetStream {
    pub(super) fn new(stream: CountedStream, overhead: Rc<AnswerOverhead>) -> Self {
        Self { stream, overhead }
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Err(error) = self.overhead.add(buf.filled().len() - before) {
            return Poll::Ready(Err(error));
        }
        result
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
