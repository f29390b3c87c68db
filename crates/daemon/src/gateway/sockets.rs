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
        let peers = UdpSocket::bind(settings.peers)
            .with_context(|| format!("cannot bind {}", settings.peers))?;
        peers.set_nonblocking(true)?;
        settings.peers = peers.local_addr()?;
        Ok(Self {
            callers: listen(&mut settings.callers)?,
            ready: listen(&mut settings.ready)?,
            peers,
            metrics: bind_metrics(&mut settings.metrics),
        })
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
