//! A stream that counts its bytes in both directions.

use crate::stream::YieldingStream;
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes read and written on a connection since it was opened.
#[derive(Debug, Default)]
pub(crate) struct ByteCounts {
    read: Cell<u64>,
    written: Cell<u64>,
    is_write_blocked: Cell<bool>,
}

impl ByteCounts {
    pub(crate) fn get_read(&self) -> u64 {
        self.read.get()
    }

    pub(crate) fn get_written(&self) -> u64 {
        self.written.get()
    }

    /// Returns true if the last write has to wait until the peer reads.
    pub(crate) fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.get()
    }
}

/// TCP stream whose byte counts can be read while hyper owns the stream.
///
/// hyper does not expose the counts. They show whether a failed request can have
/// reached its target, and whether a caller has started a request.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: YieldingStream,
    counts: Rc<ByteCounts>,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream, counts: Rc<ByteCounts>) -> Self {
        Self {
            stream: YieldingStream::new(stream),
            counts,
        }
    }

    fn count_written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.counts.is_write_blocked.set(result.is_pending());
        if let Poll::Ready(Ok(bytes)) = result {
            add(&self.counts.written, bytes);
        }
        result
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        add(&self.counts.read, buf.filled().len() - before);
        result
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_written(result)
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
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_written(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

fn add(count: &Cell<u64>, bytes: usize) {
    count.set(count.get() + bytes as u64);
}
