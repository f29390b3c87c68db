//! Open connections of a server.

use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio_util::sync::CancellationToken;

/// The open connections of a server, by the address of the other end.
#[derive(Debug, Default)]
pub struct Connections {
    open: Mutex<Vec<Open>>,
}

#[derive(Debug)]
struct Open {
    peer: SocketAddr,
    connection: Connection,
}

/// What a request can learn of its connection and do to it.
#[derive(Debug, Clone, Default)]
pub struct Connection {
    gone: CancellationToken,
    broken: Arc<AtomicBool>,
    busy: Arc<AtomicUsize>,
}

/// A request under way; the connection is not idle while it lives.
#[derive(Debug)]
pub struct BusyGuard {
    busy: Arc<AtomicUsize>,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.busy.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Connection {
    /// Returns the token that is cancelled when the other end goes.
    pub fn get_closed_token(&self) -> &CancellationToken {
        &self.gone
    }

    /// Lets every later write fail, so that a cut answer is not finished.
    pub fn break_off(&self) {
        self.broken.store(true, Ordering::Release);
    }

    /// Notes a request under way, so that the connection is not closed as idle.
    pub fn mark_busy(&self) -> BusyGuard {
        self.busy.fetch_add(1, Ordering::AcqRel);
        BusyGuard {
            busy: self.busy.clone(),
        }
    }

    pub(crate) fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Acquire) > 0
    }

    pub(crate) fn is_broken(&self) -> bool {
        self.broken.load(Ordering::Acquire)
    }
}

impl Connections {
    /// Creates an empty list.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Returns the connection to the other end.
    ///
    /// An address without a connection gives one that never goes.
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
        let entry = Open {
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

fn find(open: &[Open], peer: SocketAddr) -> Result<usize, usize> {
    open.binary_search_by_key(&peer, |entry| entry.peer)
}
