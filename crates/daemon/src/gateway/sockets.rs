//! The sockets of a daemon on the platform.

use anyhow::Context;
use gentianridge_config::GatewaySettings;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// Bound sockets of one daemon.
///
/// Binding is separate from running, so that port 0 in the settings can be
/// replaced by the port that the system assigned.
#[derive(Debug)]
pub struct GatewaySockets {
    pub(crate) callers: TcpListener,
    pub(crate) ready: TcpListener,
    pub(crate) peers: UdpSocket,
    /// Listens for requests of peers, at the same address as `peers`.
    pub(crate) state: TcpListener,
    pub(crate) metrics: Option<TcpListener>,
}

impl GatewaySockets {
    /// Binds the addresses of the settings and stores the assigned ports in
    /// them.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub fn bind(settings: &mut GatewaySettings) -> anyhow::Result<Self> {
        let (peers, state) = bind_peers(&mut settings.peers)?;
        Ok(Self {
            callers: listen(&mut settings.callers)?,
            ready: listen(&mut settings.ready)?,
            peers,
            state,
            metrics: bind_metrics(&mut settings.metrics),
        })
    }
}

/// Attempts to find a port that is free for datagrams and for connections.
const MAX_BIND_ATTEMPTS: usize = 20;

/// Binds the address of the peers for datagrams and for connections.
fn bind_peers(addr: &mut SocketAddr) -> anyhow::Result<(UdpSocket, TcpListener)> {
    let wanted = *addr;
    let mut attempts = 0;
    loop {
        attempts += 1;
        let peers = UdpSocket::bind(wanted).with_context(|| format!("cannot bind {wanted}"))?;
        peers.set_nonblocking(true)?;
        *addr = peers.local_addr()?;
        match listen(addr) {
            Ok(state) => return Ok((peers, state)),
            Err(error) if wanted.port() != 0 || attempts == MAX_BIND_ATTEMPTS => return Err(error),
            Err(_) => {}
        }
    }
}

/// Binds the address of the metrics. A failure is logged only, since serving
/// requests is more important than metrics.
fn bind_metrics(addr: &mut Option<SocketAddr>) -> Option<TcpListener> {
    match listen(addr.as_mut()?) {
        Ok(listener) => Some(listener),
        Err(error) => {
            log::error!("metrics are not served: {error:#}");
            None
        }
    }
}

/// Binds a non-blocking listener, as tokio requires.
fn listen(addr: &mut SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(*addr).with_context(|| format!("cannot listen on {addr}"))?;
    listener.set_nonblocking(true)?;
    *addr = listener.local_addr()?;
    Ok(listener)
}
