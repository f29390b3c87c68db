//! A stream whose reads give way to other tasks.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// TCP stream whose reader gives way to other tasks after some bytes.
///
/// The HTTP library reads in a loop for as long as it needs more bytes. A peer that always
/// has some would keep the thread for as long as the runtime lets it, which is megabytes.
#[derive(Debug)]
pub(crate) struct YieldingStream {
    stream: TcpStream,
    /// Bytes read since the last time that a read was pending.
    read_in_turn: usize,
}

impl YieldingStream {
    /// Bytes after which the reader gives way: as many as the largest buffer of a connection
    /// to a target holds. Usual messages are shorter.
    const TURN_BYTES: usize = 64 * 1024;

    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            read_in_turn: 0,
        }
    }
}

impl AsyncRead for YieldingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_in_turn >= Self::TURN_BYTES {
            self.read_in_turn = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.read_in_turn = match result {
            Poll::Pending => 0,
            Poll::Ready(_) => self.read_in_turn + buf.filled().len() - before,
        };
        result
    }
}

impl AsyncWrite for YieldingStream {
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
