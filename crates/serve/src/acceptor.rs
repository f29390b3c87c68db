//! Connections that tell when the other end goes.

use crate::{Connection, Connections};
use http::uri::Scheme;
use poem::Addr;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// Accepts TCP connections and enters them in [`Connections`].
#[derive(Debug)]
pub struct WatchedAcceptor {
    listener: TcpListener,
    local: SocketAddr,
    connections: Arc<Connections>,
}

impl WatchedAcceptor {
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
        })
    }
}

impl Acceptor for WatchedAcceptor {
    type Io = WatchedStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(Addr::from(self.local))]
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, peer) = self.listener.accept().await?;
        // Small answers must not wait for the acknowledgement of earlier ones.
        stream.set_nodelay(true)?;
        let watched = WatchedStream {
            connection: self.connections.add(peer),
            connections: self.connections.clone(),
            stream,
            peer,
        };
        let local = LocalAddr(Addr::from(self.local));
        Ok((watched, local, RemoteAddr(Addr::from(peer)), Scheme::HTTP))
    }
}

/// A connection that cancels its token at the end of what the other end sends.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    peer: SocketAddr,
    connection: Connection,
    connections: Arc<Connections>,
}

impl WatchedStream {
    fn check(&self) -> io::Result<()> {
        if self.connection.is_broken() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        self.connection.get_gone().cancel();
        self.connections.remove(self.peer);
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let had_room = buf.remaining() > 0;
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let is_end = match &result {
            Poll::Ready(Ok(())) => had_room && buf.filled().len() == before,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        if is_end {
            self.connection.get_gone().cancel();
        }
        result
    }
}

impl AsyncWrite for WatchedStream {
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
