//! A relay on loopback that injects faults into the connections through it.

use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Fault that a relay applies to its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// All bytes are forwarded.
    None,
    /// Each chunk of bytes is delayed by this time.
    Delay(Duration),
    /// New connections are reset, and open ones once bytes arrive on them.
    Reset,
    /// No bytes are forwarded in either direction.
    Silent,
    /// Requests are forwarded, answers are not.
    OneWay,
}

/// Time between two checks whether held bytes may be forwarded.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct Shared {
    upstream: SocketAddr,
    fault: Mutex<LinkFault>,
    /// Connections of an earlier epoch forward no bytes any more.
    epoch: AtomicU64,
}

/// A relay to one upstream address.
#[derive(Debug)]
pub struct FaultyLink {
    addr: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Drop for FaultyLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FaultyLink {
    /// Starts a relay to an address.
    ///
    /// # Errors
    ///
    /// Fails if no loopback address can be bound.
    pub async fn start(upstream: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            upstream,
            fault: Mutex::new(LinkFault::None),
            epoch: AtomicU64::new(0),
        });
        let task = tokio::spawn(accept(listener, shared.clone()));
        Ok(Self { addr, shared, task })
    }

    /// Returns the address of the relay.
    pub fn get_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the fault from now on, also for open connections.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.shared.fault.lock() = fault;
    }

    /// Stops forwarding on the open connections for good; new connections work.
    pub fn silence_connections(&self) {
        self.shared.epoch.fetch_add(1, Ordering::Relaxed);
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((downstream, _)) = listener.accept().await {
        tokio::spawn(relay(downstream, shared.clone()));
    }
}

async fn relay(downstream: TcpStream, shared: Arc<Shared>) {
    if *shared.fault.lock() == LinkFault::Reset {
        set_reset_on_close(&downstream);
        return;
    }
    let Ok(upstream) = TcpStream::connect(shared.upstream).await else {
        set_reset_on_close(&downstream);
        return;
    };
    let epoch = shared.epoch.load(Ordering::Relaxed);
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    tokio::select! {
        () = forward(downstream_read, upstream_write, &shared, epoch, Direction::Request) => {}
        () = forward(upstream_read, downstream_write, &shared, epoch, Direction::Answer) => {}
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

/// Forwards bytes until either end closes or the connection is reset.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    shared: &Shared,
    epoch: u64,
    direction: Direction,
) {
    let mut buf = [0; 4096];
    loop {
        let size = match from.read(&mut buf).await {
            Ok(size) if size > 0 => size,
            Ok(_) | Err(_) => return,
        };
        if !wait_for_forwarding(shared, epoch, direction).await {
            set_reset_on_close(to.as_ref());
            return;
        }
        if to.write_all(&buf[..size]).await.is_err() {
            return;
        }
    }
}

/// Waits until the fault lets bytes pass; returns false if it resets the connection.
async fn wait_for_forwarding(shared: &Shared, epoch: u64, direction: Direction) -> bool {
    loop {
        let is_silenced = shared.epoch.load(Ordering::Relaxed) != epoch;
        let fault = *shared.fault.lock();
        match fault {
            LinkFault::Reset => return false,
            _ if is_silenced => {}
            LinkFault::None => return true,
            LinkFault::OneWay if direction == Direction::Request => return true,
            LinkFault::Delay(time) => {
                tokio::time::sleep(time).await;
                return true;
            }
            LinkFault::Silent | LinkFault::OneWay => {}
        }
        tokio::time::sleep(FAULT_POLL_INTERVAL).await;
    }
}

/// Makes the close of a connection a reset; has no effect on a closed connection.
fn set_reset_on_close(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}
