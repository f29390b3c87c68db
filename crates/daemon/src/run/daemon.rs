//! A running daemon.

use super::Listeners;
use crate::caller::CallerEndpoint;
use crate::clock::SystemClock;
use crate::fleet::{
    Fleet, run_gossip, run_member_poller, run_peer_listener, run_revision_poller, wall_millis,
};
use crate::operator::make_operator_endpoint;
use crate::service::run_prober;
use crate::system::get_descriptors;
use gentianridge_config::Settings;
use gentianridge_core::{EventKind, RevisionRecord, RevisionUpdate};
use gentianridge_platform::{HttpPlatform, MemoryPlatform, Platform};
use gentianridge_serve::{Connections, TrackingAcceptor};
use poem::Server;
use poem::listener::TcpAcceptor;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// Time between two checks for open claims during a stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A daemon whose tasks run in the current runtime.
///
/// Dropping it ends its tasks at once, as a crash would; [`Daemon::stop`]
/// drains it first.
#[derive(Debug)]
pub struct Daemon {
    fleet: Arc<Fleet>,
    close: Arc<Notify>,
    servers: JoinSet<std::io::Result<()>>,
    tasks: JoinSet<()>,
}

/// Start.
impl Daemon {
    /// Binds the addresses of the settings and starts the tasks.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a client cannot be built.
    pub async fn start(mut settings: Settings) -> anyhow::Result<Self> {
        let listeners = Listeners::bind(&mut settings).await?;
        Self::start_on(settings, listeners)
    }

    /// Starts the tasks on sockets that are bound already.
    ///
    /// # Errors
    ///
    /// Fails if a client cannot be built.
    pub fn start_on(settings: Settings, listeners: Listeners) -> anyhow::Result<Self> {
        let platform = match settings.platform {
            Some(addr) => Platform::Http(HttpPlatform::new(addr, settings.store_timeout)?),
            None => Platform::Memory(MemoryPlatform::new()),
        };
        let fleet = Fleet::new(settings, platform, Arc::new(SystemClock))?;
        fleet.journal.record(EventKind::VmStarted);
        let close = Arc::new(Notify::new());
        let mut daemon = Self {
            fleet,
            close,
            servers: JoinSet::new(),
            tasks: JoinSet::new(),
        };
        daemon.spawn_servers(listeners.callers, listeners.operators)?;
        daemon.spawn_tasks(listeners.peers);
        Ok(daemon)
    }

    fn spawn_servers(
        &mut self,
        callers: tokio::net::TcpListener,
        operators: tokio::net::TcpListener,
    ) -> anyhow::Result<()> {
        let close = self.close.clone();
        let grace = self.fleet.settings.stop_grace;
        let idle_timeout = self.fleet.settings.caller_idle.max(MIN_CALLER_IDLE);
        let connections = Connections::new();
        let acceptor = TrackingAcceptor::new(callers, connections.clone())?
            .idle_timeout(idle_timeout)
            .max_connections(self.get_max_connections());
        let caller_server = Server::new_with_acceptor(acceptor);
        let endpoint = CallerEndpoint::new(self.fleet.clone(), connections);
        self.servers.spawn(async move {
            let signal = async move { close.notified().await };
            caller_server
                .run_with_graceful_shutdown(endpoint, signal, Some(grace))
                .await
        });
        let operator_server = Server::new_with_acceptor(TcpAcceptor::from_tokio(operators)?);
        let paths = make_operator_endpoint(self.fleet.clone());
        self.tasks.spawn(async move {
            if let Err(error) = operator_server.run(paths).await {
                log::error!("server for operators failed: {error}");
            }
        });
        Ok(())
    }

    /// Returns the largest number of callers' connections. Without a setting, a part of the
    /// descriptors is left for targets, the platform, operators and peers.
    fn get_max_connections(&self) -> usize {
        let limit = self.fleet.settings.max_connections;
        limit.unwrap_or_else(|| get_descriptors() / 4 * 3)
    }

    fn spawn_tasks(&mut self, peers: tokio::net::TcpListener) {
        self.tasks.spawn(run_revision_poller(self.fleet.clone()));
        self.tasks.spawn(run_member_poller(self.fleet.clone()));
        self.tasks.spawn(run_gossip(self.fleet.clone()));
        self.tasks
            .spawn(run_peer_listener(self.fleet.clone(), peers));
        self.tasks.spawn(run_prober(self.fleet.clone()));
    }
}

/// Shortest idle time after which a caller's connection is closed.
const MIN_CALLER_IDLE: Duration = Duration::from_secs(60);

/// State and stop.
impl Daemon {
    /// Puts a file in force without the platform, for a standalone daemon.
    ///
    /// # Errors
    ///
    /// Fails if the file has faults; the error lists all of them.
    pub fn load(&self, text: String) -> anyhow::Result<()> {
        gentianridge_config::parse_fleet(&text)?;
        let record = RevisionRecord {
            number: self.fleet.get_revision() + 1,
            submission: "standalone".into(),
            author: "standalone".into(),
            submitted_ms: wall_millis(&*self.fleet.clock),
            text,
        };
        match self.fleet.adopt(record, "file") {
            RevisionUpdate::Adopted => Ok(()),
            other => anyhow::bail!("the file was not put in force: {other:?}"),
        }
    }

    /// Returns the address for callers.
    pub fn get_callers(&self) -> SocketAddr {
        self.fleet.settings.callers
    }

    /// Returns the address of the operators' paths.
    pub fn get_operators(&self) -> SocketAddr {
        self.fleet.settings.operators
    }

    /// Returns the address for messages of peers.
    pub fn get_peers(&self) -> SocketAddr {
        self.fleet.settings.peers
    }

    /// Returns the name of the VM.
    pub fn get_vm(&self) -> &str {
        &self.fleet.me
    }

    /// Returns the number of the revision in force, 0 if there is none.
    pub fn get_revision(&self) -> u64 {
        self.fleet.get_revision()
    }

    /// Returns true if the VM takes calls.
    pub fn is_ready(&self) -> bool {
        self.fleet.is_ready()
    }

    /// Returns the number of events recorded since the start.
    pub fn count_events(&self) -> u64 {
        self.fleet.journal.count_recorded()
    }

    /// Drains the daemon, then stops it.
    ///
    /// The VM first reports that it is not ready and notifies its peers. It
    /// serves requests for `stop_notice`, the time in which the platform's
    /// balancer stops choosing it, and then accepts no new connections. The
    /// call returns when every request in flight and every claim is done, or
    /// `stop_grace` later with a warning.
    pub async fn stop(mut self) {
        self.fleet.start_stopping();
        tokio::time::sleep(self.fleet.settings.stop_notice).await;
        self.close.notify_one();
        let grace = self.fleet.settings.stop_grace;
        let drained = async {
            while self.servers.join_next().await.is_some() {}
            while self.fleet.open_claims.load(Ordering::Acquire) > 0 {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(grace, drained).await.is_err() {
            log::warn!("stopped with work in flight after the grace time");
        }
        self.tasks.shutdown().await;
    }
}
