//! Bound on what a target sends beside its answers.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that a target has sent since its answer made progress: since the request was sent,
/// its head was complete or a part of its body was taken.
#[derive(Debug, Default)]
pub(crate) struct AnswerOverhead {
    bytes: AtomicUsize,
}

impl AnswerOverhead {
    /// Most bytes without progress: four times the largest buffer of a connection to a target,
    /// which bounds a head. The rest leaves room for what is read along with a head, for
    /// interim answers and for the framing of chunks.
    const MAX_BYTES: usize = 256 * 1024;

    pub(crate) fn record_progress(&self) {
        self.bytes.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) -> io::Result<()> {
        let sum = self.bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
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
pub(crate) struct TargetStream<S> {
    stream: S,
    overhead: Arc<AnswerOverhead>,
}

impl<S> TargetStream<S> {
    pub(crate) fn new(stream: S, overhead: Arc<AnswerOverhead>) -> Self {
        Self { stream, overhead }
    }

    pub(crate) fn get_overhead(&self) -> &Arc<AnswerOverhead> {
        &self.overhead
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TargetStream<S> {
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

impl<S: AsyncWrite + Unpin> AsyncWrite for TargetStream<S> {
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
