//! A relay on loopback that harms the connections that pass it.

use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// What the relay does with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// It passes everything on.
    None,
    /// It holds each piece back for a time.
    Delay(Duration),
    /// It resets open connections and each new one.
    Reset,
    /// It passes nothing on, in both directions.
    Silent,
    /// It passes requests on, and nothing comes back.
    OneWay,
}

/// Time between two looks at a fault that holds bytes back.
const LOOK: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct Shared {
    upstream: SocketAddr,
    fault: Mutex<LinkFault>,
    /// Connections of an earlier epoch are silent for good.
    epoch: AtomicU64,
}

/// A relay to one address.
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

    /// Sets what it does from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.shared.fault.lock() = fault;
    }

    /// Makes open connections silent for good, while new ones work.
    pub fn silence_connections(&self) {
        self.shared.epoch.fetch_add(1, Ordering::Relaxed);
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((near, _)) = listener.accept().await {
        tokio::spawn(relay(near, shared.clone()));
    }
}

async fn relay(near: TcpStream, shared: Arc<Shared>) {
    if *shared.fault.lock() == LinkFault::Reset {
        reset(&near);
        return;
    }
    let Ok(far) = TcpStream::connect(shared.upstream).await else {
        reset(&near);
        return;
    };
    let epoch = shared.epoch.load(Ordering::Relaxed);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = pump(near_read, far_write, &shared, epoch, Direction::Request) => {}
        () = pump(far_read, near_write, &shared, epoch, Direction::Answer) => {}
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

/// Passes bytes on until either end closes.
async fn pump(
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
        if !wait_open(shared, epoch, direction).await {
            reset(to.as_ref());
            return;
        }
        if to.write_all(&buf[..size]).await.is_err() {
            return;
        }
    }
}

/// Waits as long as the fault holds bytes back; returns false if it ends the connection.
async fn wait_open(shared: &Shared, epoch: u64, direction: Direction) -> bool {
    loop {
        let is_forgotten = shared.epoch.load(Ordering::Relaxed) != epoch;
        let fault = *shared.fault.lock();
        match fault {
            LinkFault::Reset => return false,
            _ if is_forgotten => {}
            LinkFault::None => return true,
            LinkFault::OneWay if direction == Direction::Request => return true,
            LinkFault::Delay(time) => {
                tokio::time::sleep(time).await;
                return true;
            }
            LinkFault::Silent | LinkFault::OneWay => {}
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Makes the close of a connection a reset; one that is closed already is fine.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}
