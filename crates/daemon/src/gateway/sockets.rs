//! The sockets of a daemon on the platform.

use anyhow::Context;
use gentianridge_config::GatewaySettings;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// Bound sockets of one daemon.
///
/// Binding is apart from running, so that settings with port 0 can be
/// completed with the ports that were given.
#[derive(Debug)]
pub struct GatewaySockets {
    pub(crate) callers: TcpListener,
    pub(crate) ready: TcpListener,
    pub(crate) peers: UdpSocket,
    pub(crate) metrics: Option<TcpListener>,
}

impl GatewaySockets {
    /// Binds the addresses of the settings and writes the real ports back.
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

/// Binds the address of the metrics if it can be had; requests go before metrics.
fn bind_metrics(addr: &mut Option<SocketAddr>) -> Option<TcpListener> {
    match listen(addr.as_mut()?) {
        Ok(listener) => Some(listener),
        Err(error) => {
            log::error!("metrics are not served: {error:#}");
            None
        }
    }
}

/// Listens without blocking, as the runtime wants it.
fn listen(addr: &mut SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(*addr).with_context(|| format!("cannot listen on {addr}"))?;
    listener.set_nonblocking(true)?;
    *addr = listener.local_addr()?;
    Ok(listener)
}
