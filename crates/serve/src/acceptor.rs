//! Accepted connections that report when the peer disconnects.

use crate::{Connection, Connections};
use http::uri::Scheme;
use poem::Addr;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, Sleep};

/// Accepts TCP connections and registers them in [`Connections`].
#[derive(Debug)]
pub struct TrackingAcceptor {
    listener: TcpListener,
    local: SocketAddr,
    connections: Arc<Connections>,
    idle_timeout: Duration,
    max_connections: usize,
}

impl TrackingAcceptor {
    /// Idle timeout of connections unless another one is set.
    const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

    /// Creates an acceptor on a bound socket.
    ///
    /// # Errors
    ///
    /// Fails if the socket has no local address.
    pub fn new(listener: TcpListener, connections: Arc<Connections>) -> io::Result<Self> {
        let local = listener.local_addr()?;
        Ok(Self {
            listener,
            local,
            connections,
            idle_timeout: Self::DEFAULT_IDLE_TIMEOUT,
            max_connections: usize::MAX,
        })
    }

    /// Sets the number of connections above which new ones are closed at once, so that
    /// descriptors are left for other purposes.
    pub fn max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// Accepts a connection, and closes those above the limit.
    async fn accept_allowed(&self) -> io::Result<(TcpStream, SocketAddr)> {
        loop {
            let (stream, peer) = self.listener.accept().await?;
            if self.connections.len() < self.max_connections {
                return Ok((stream, peer));
            }
        }
    }

    /// Sets the time without a received byte after which a connection is closed,
    /// unless a request is in progress on it.
    pub fn idle_timeout(mut self, idle_timeout: Duration) -> Self {
        self.idle_timeout = idle_timeout;
        self
    }
}

impl Acceptor for TrackingAcceptor {
    type Io = TrackedStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(Addr::from(self.local))]
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, peer) = self.accept_allowed().await?;
        // Small answers must not wait for the acknowledgement of earlier ones.
        stream.set_nodelay(true)?;
        let tracked = TrackedStream {
            connection: self.connections.add(peer),
            connections: self.connections.clone(),
            stream,
            peer,
            idle_timeout: self.idle_timeout,
            last_active: Instant::now(),
            idle_timer: Box::pin(tokio::time::sleep(self.idle_timeout)),
        };
        let local = LocalAddr(Addr::from(self.local));
        Ok((tracked, local, RemoteAddr(Addr::from(peer)), Scheme::HTTP))
    }
}

/// A connection that cancels its token at the end of the incoming stream, on a
/// read error and when it is dropped.
#[derive(Debug)]
pub struct TrackedStream {
    stream: TcpStream,
    peer: SocketAddr,
    connection: Connection,
    connections: Arc<Connections>,
    idle_timeout: Duration,
    /// Time of the last byte read.
    last_active: Instant,
    /// Fires when the connection may have been idle for the timeout. The timer is
    /// reset only then, so that reads on a busy connection cost no timer work.
    idle_timer: Pin<Box<Sleep>>,
}

impl TrackedStream {
    /// Returns true if the connection has been idle for its timeout.
    fn is_idle(&mut self, cx: &mut Context<'_>) -> bool {
        while self.idle_timer.as_mut().poll(cx).is_ready() {
            if self.connection.is_busy() {
                self.last_active = Instant::now();
            }
            let due = self.last_active + self.idle_timeout;
            if due <= Instant::now() {
                return true;
            }
            self.idle_timer.as_mut().reset(due);
        }
        false
    }

    fn check_aborted(&self) -> io::Result<()> {
        if self.connection.is_aborted() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

impl Drop for TrackedStream {
    fn drop(&mut self) {
        self.connection.get_closed_token().cancel();
        self.connections.remove(self.peer);
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let had_space = buf.remaining() > 0;
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let is_end = match &result {
            Poll::Ready(Ok(())) => {
                self.last_active = Instant::now();
                had_space && buf.filled().len() == before
            }
            Poll::Ready(Err(_)) => true,
            // An end of stream makes the server close the connection.
            Poll::Pending if self.is_idle(cx) => return Poll::Ready(Ok(())),
            Poll::Pending => false,
        };
        if is_end {
            self.connection.get_closed_token().cancel();
        }
        result
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_aborted()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check_aborted()?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_aborted()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
