//! A daemon in gateway mode in front of the stand-ins, on its own thread.

use super::CallerConnection;
use gentianridge_config::GatewaySettings;
use gentianridge_core::RepeatLimit;
use gentianridge_daemon::{GatewaySockets, run_gateway_until};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// A running daemon on loopback addresses.
#[derive(Debug)]
pub struct GatewayVm {
    settings: GatewaySettings,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<anyhow::Result<()>>>,
}

impl GatewayVm {
    /// Time within which a daemon has to become ready.
    const READY_TIMEOUT: Duration = Duration::from_secs(10);

    /// Starts a daemon that reads from the store.
    ///
    /// # Errors
    ///
    /// Fails if no loopback address is free.
    pub fn start(name: &str, store: SocketAddr) -> anyhow::Result<Self> {
        Self::start_with(make_settings(name, store))
    }

    /// Starts a daemon that also serves its metrics.
    ///
    /// # Errors
    ///
    /// Fails if no loopback address is free.
    pub fn start_with_metrics(name: &str, store: SocketAddr) -> anyhow::Result<Self> {
        let mut settings = make_settings(name, store);
        settings.metrics = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
        Self::start_with(settings)
    }

    /// Starts a daemon with the given settings; a port of 0 is replaced by a free one.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub fn start_with(mut settings: GatewaySettings) -> anyhow::Result<Self> {
        let sockets = GatewaySockets::bind(&mut settings)?;
        let (stop, stopped) = oneshot::channel::<()>();
        let daemon_settings = settings.clone();
        let thread = std::thread::spawn(move || {
            run_gateway_until(daemon_settings, sockets, async {
                // A dropped sender stops the daemon too.
                let _ = stopped.await;
            })
        });
        Ok(Self {
            settings,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the settings of the daemon.
    pub fn get_settings(&self) -> &GatewaySettings {
        &self.settings
    }

    /// Returns the status of the readiness check, or `None` if it is not answered.
    pub async fn check_readiness(&self) -> Option<u16> {
        let mut connection = CallerConnection::open(self.settings.ready).await.ok()?;
        let reply = connection.request("GET", "/api/readiness", "ready").await;
        reply.ok().map(|reply| reply.status)
    }

    /// Waits until the readiness check of the daemon succeeds.
    ///
    /// # Errors
    ///
    /// Fails if the daemon is not ready within 10 seconds.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        let end = tokio::time::Instant::now() + Self::READY_TIMEOUT;
        while self.check_readiness().await != Some(200) {
            anyhow::ensure!(tokio::time::Instant::now() < end, "the daemon is not ready");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    /// Opens a caller's connection.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not accept the connection.
    pub async fn open(&self) -> anyhow::Result<CallerConnection> {
        CallerConnection::open(self.settings.callers).await
    }

    /// Starts a planned stop of the daemon.
    pub fn stop(&mut self) {
        self.stop = None;
    }

    /// Returns true if the daemon has ended.
    pub fn is_finished(&self) -> bool {
        self.thread
            .as_ref()
            .is_none_or(|thread| thread.is_finished())
    }
}

impl Drop for GatewayVm {
    /// Starts a planned stop without waiting for it; the thread ends with the process
    /// at the latest.
    fn drop(&mut self) {
        self.stop = None;
    }
}

/// Returns settings with free ports that are chosen at the start and a high limit of
/// repeats.
pub fn make_settings(name: &str, store: SocketAddr) -> GatewaySettings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = GatewaySettings::new(name, any_port, any_port, any_port, store);
    settings.domain = "d1".into();
    settings.probes_per_target = 60;
    settings.repeats = RepeatLimit {
        window: Duration::from_secs(10),
        percent: 20,
        extra: 1_000,
    };
    settings
}
