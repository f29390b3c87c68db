//! Connections that tell when the other end goes.

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

/// Accepts TCP connections and enters them in [`Connections`].
#[derive(Debug)]
pub struct TrackingAcceptor {
    listener: TcpListener,
    local: SocketAddr,
    connections: Arc<Connections>,
    idle_timeout: Duration,
}

impl TrackingAcceptor {
    /// Idle time of connections unless another one is set.
    const DEFAULT_IDLE: Duration = Duration::from_secs(60);

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
            idle_timeout: Self::DEFAULT_IDLE,
        })
    }

    /// Sets the time without a byte after which a connection is closed, unless
    /// a request is under way on it.
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
        let (stream, peer) = self.listener.accept().await?;
        // Small answers must not wait for the acknowledgement of earlier ones.
        stream.set_nodelay(true)?;
        let watched = TrackedStream {
            connection: self.connections.add(peer),
            connections: self.connections.clone(),
            stream,
            peer,
            idle_timeout: self.idle_timeout,
            active: Instant::now(),
            check: Box::pin(tokio::time::sleep(self.idle_timeout)),
        };
        let local = LocalAddr(Addr::from(self.local));
        Ok((watched, local, RemoteAddr(Addr::from(peer)), Scheme::HTTP))
    }
}

/// A connection that cancels its token at the end of what the other end sends.
#[derive(Debug)]
pub struct TrackedStream {
    stream: TcpStream,
    peer: SocketAddr,
    connection: Connection,
    connections: Arc<Connections>,
    idle_timeout: Duration,
    /// Time of the last byte read.
    active: Instant,
    /// Fires when the connection may be idle; it is moved on only then, so
    /// that a busy connection costs no timer work.
    check: Pin<Box<Sleep>>,
}

impl TrackedStream {
    /// Returns true if the connection has been idle for its time.
    fn is_idle(&mut self, cx: &mut Context<'_>) -> bool {
        while self.check.as_mut().poll(cx).is_ready() {
            if self.connection.is_busy() {
                self.active = Instant::now();
            }
            let due = self.active + self.idle_timeout;
            if due <= Instant::now() {
                return true;
            }
            self.check.as_mut().reset(due);
        }
        false
    }

    fn check(&self) -> io::Result<()> {
        if self.connection.is_broken() {
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
        let had_room = buf.remaining() > 0;
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let is_end = match &result {
            Poll::Ready(Ok(())) => {
                self.active = Instant::now();
                had_room && buf.filled().len() == before
            }
            Poll::Ready(Err(_)) => true,
            // The end of the stream makes the server close the connection.
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
        self.check()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check()?;
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
        self.check()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
