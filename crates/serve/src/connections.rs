//! Open connections of a server.

use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio_util::sync::CancellationToken;

/// The open connections of a server, by the address of the peer.
#[derive(Debug, Default)]
pub struct Connections {
    open: Mutex<Vec<OpenConnection>>,
}

#[derive(Debug)]
struct OpenConnection {
    peer: SocketAddr,
    connection: Connection,
}

/// Handle with which a request observes and aborts its connection.
#[derive(Debug, Clone, Default)]
pub struct Connection {
    closed: CancellationToken,
    is_aborted: Arc<AtomicBool>,
    requests: Arc<AtomicUsize>,
}

/// Marks a request in progress: the connection is not idle while the guard exists.
#[derive(Debug)]
pub struct BusyGuard {
    requests: Arc<AtomicUsize>,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.requests.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Connection {
    /// Returns the token that is cancelled when the peer disconnects.
    pub fn get_closed_token(&self) -> &CancellationToken {
        &self.closed
    }

    /// Makes every later write fail, so that a truncated answer does not end as a
    /// complete one.
    pub fn abort(&self) {
        self.is_aborted.store(true, Ordering::Release);
    }

    /// Marks a request in progress, so that the connection is not closed as idle.
    pub fn mark_busy(&self) -> BusyGuard {
        self.requests.fetch_add(1, Ordering::AcqRel);
        BusyGuard {
            requests: self.requests.clone(),
        }
    }

    pub(crate) fn is_busy(&self) -> bool {
        self.requests.load(Ordering::Acquire) > 0
    }

    pub(crate) fn is_aborted(&self) -> bool {
        self.is_aborted.load(Ordering::Acquire)
    }
}

impl Connections {
    /// Creates an empty list.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Returns the connection of a peer.
    ///
    /// For an address without a connection, returns one whose token is never
    /// cancelled.
    pub fn get_connection(&self, peer: Option<SocketAddr>) -> Connection {
        let open = self.open.lock();
        peer.and_then(|peer| find(&open, peer).ok())
            .map_or_else(Connection::default, |index| open[index].connection.clone())
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.lock().len()
    }

    /// Returns true if no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(crate) fn add(&self, peer: SocketAddr) -> Connection {
        let connection = Connection::default();
        let entry = OpenConnection {
            peer,
            connection: connection.clone(),
        };
        let mut open = self.open.lock();
        match find(&open, peer) {
            Ok(index) => open[index] = entry,
            Err(index) => open.insert(index, entry),
        }
        connection
    }

    pub(crate) fn remove(&self, peer: SocketAddr) {
        let mut open = self.open.lock();
        if let Ok(index) = find(&open, peer) {
            open.remove(index);
        }
    }
}

fn find(open: &[OpenConnection], peer: SocketAddr) -> Result<usize, usize> {
    open.binary_search_by_key(&peer, |entry| entry.peer)
}
