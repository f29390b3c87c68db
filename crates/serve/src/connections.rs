//! Open connections of a server.

use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// The open connections of a server, by the address of the other end.
#[derive(Debug, Default)]
pub struct Connections {
    open: Mutex<Vec<Open>>,
}

#[derive(Debug)]
struct Open {
    peer: SocketAddr,
    gone: CancellationToken,
}

impl Connections {
    /// Creates an empty list.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Returns the token that is cancelled when the other end goes.
    ///
    /// An address without a connection gives a token that nobody cancels.
    pub fn watch(&self, peer: Option<SocketAddr>) -> CancellationToken {
        let open = self.open.lock();
        peer.and_then(|peer| find(&open, peer).ok())
            .map_or_else(CancellationToken::new, |index| open[index].gone.clone())
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.lock().len()
    }

    /// Returns true if no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(crate) fn add(&self, peer: SocketAddr) -> CancellationToken {
        let gone = CancellationToken::new();
        let entry = Open {
            peer,
            gone: gone.clone(),
        };
        let mut open = self.open.lock();
        match find(&open, peer) {
            Ok(index) => open[index] = entry,
            Err(index) => open.insert(index, entry),
        }
        gone
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
