//! Connections to the targets of one service.

use parking_lot::RwLock;
use reqwest::Client;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections are closed before middleboxes forget them.
const IDLE: Duration = Duration::from_secs(20);

/// The connections to one target.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) addr: SocketAddr,
    pub(crate) client: Client,
}

/// The connections to all targets of a service, by position of the target.
///
/// Each target has a pool of its own, so that the connections of one age can
/// be given up together when one of them falls silent.
#[derive(Debug)]
pub(crate) struct Links {
    links: RwLock<Vec<Option<Arc<Link>>>>,
}

impl Links {
    pub(crate) fn new() -> Self {
        Self {
            links: RwLock::new(Vec::new()),
        }
    }

    /// Returns the connections to a target and opens a pool for a new address.
    pub(crate) fn get(
        &self,
        index: usize,
        addr: SocketAddr,
        max: u16,
    ) -> Result<Arc<Link>, reqwest::Error> {
        let known = self.links.read().get(index).cloned().flatten();
        match known {
            Some(link) if link.addr == addr => Ok(link),
            _ => self.open(index, addr, max),
        }
    }

    /// Gives up the connections of a target if they are still the given ones.
    ///
    /// Returns true if they were replaced by this call.
    pub(crate) fn give_up(&self, index: usize, link: &Arc<Link>) -> bool {
        let mut links = self.links.write();
        let Some(slot) = links.get_mut(index) else {
            return false;
        };
        let is_current = slot
            .as_ref()
            .is_some_and(|current| Arc::ptr_eq(current, link));
        if is_current {
            *slot = None;
        }
        is_current
    }

    fn open(&self, index: usize, addr: SocketAddr, max: u16) -> Result<Arc<Link>, reqwest::Error> {
        let link = Arc::new(Link {
            addr,
            client: build_client(max)?,
        });
        let mut links = self.links.write();
        if links.len() <= index {
            links.resize(index + 1, None);
        }
        links[index] = Some(link.clone());
        Ok(link)
    }
}

fn build_client(max_idle: u16) -> Result<Client, reqwest::Error> {
    Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE)
        .pool_max_idle_per_host(usize::from(max_idle))
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
        .no_proxy()
        .http1_only()
        .build()
}
