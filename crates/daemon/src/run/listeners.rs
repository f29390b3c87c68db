//! The sockets of a daemon.

use gentianridge_config::Settings;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Bound sockets of one daemon.
///
/// Binding is separate from running, so that a port 0 in the settings can be
/// replaced by the port that the operating system assigned.
#[derive(Debug)]
pub struct Listeners {
    pub(crate) callers: TcpListener,
    pub(crate) operators: TcpListener,
    pub(crate) peers: TcpListener,
}

impl Listeners {
    /// Binds the three addresses of the settings and writes the assigned ports back.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn bind(settings: &mut Settings) -> io::Result<Self> {
        Ok(Self {
            callers: bind(&mut settings.callers).await?,
            operators: bind(&mut settings.operators).await?,
            peers: bind(&mut settings.peers).await?,
        })
    }
}

async fn bind(addr: &mut SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(*addr).await.map_err(|error| {
        io::Error::new(error.kind(), format!("cannot listen on {addr}: {error}"))
    })?;
    *addr = listener.local_addr()?;
    Ok(listener)
}
