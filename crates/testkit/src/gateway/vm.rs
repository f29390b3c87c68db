//! A daemon before the stand-ins, on a thread of its own.

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
    /// Time within which a daemon has to be ready in a test.
    const START: Duration = Duration::from_secs(10);

    /// Starts a daemon that reads from the store.
    ///
    /// # Errors
    ///
    /// Fails if no loopback address is free.
    pub fn start(name: &str, store: SocketAddr) -> anyhow::Result<Self> {
        Self::start_with(make_settings(name, store))
    }

    /// Starts a daemon that serves its metrics as well.
    ///
    /// # Errors
    ///
    /// Fails if no loopback address is free.
    pub fn start_with_metrics(name: &str, store: SocketAddr) -> anyhow::Result<Self> {
        let mut settings = make_settings(name, store);
        settings.metrics = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
        Self::start_with(settings)
    }

    /// Starts a daemon with settings; ports that are 0 are chosen.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub fn start_with(mut settings: GatewaySettings) -> anyhow::Result<Self> {
        let sockets = GatewaySockets::bind(&mut settings)?;
        let (stop, stopped) = oneshot::channel::<()>();
        let running = settings.clone();
        let thread = std::thread::spawn(move || {
            run_gateway_until(running, sockets, async {
                // A dropped sender asks for a stop as well.
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

    /// Returns the answer to the balancer's question, none without one.
    pub async fn check_readiness(&self) -> Option<u16> {
        let mut connection = CallerConnection::open(self.settings.ready).await.ok()?;
        let reply = connection.request("GET", "/api/readiness", "ready").await;
        reply.ok().map(|reply| reply.status)
    }

    /// Waits until the daemon says that it is ready.
    ///
    /// # Errors
    ///
    /// Fails if it does not within some seconds.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        let end = tokio::time::Instant::now() + Self::START;
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
    /// Fails if the daemon takes no connection.
    pub async fn open(&self) -> anyhow::Result<CallerConnection> {
        CallerConnection::open(self.settings.callers).await
    }

    /// Asks the daemon to stop in the planned way.
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
    /// Lets the daemon end by itself; its thread ends with the process at the latest.
    fn drop(&mut self) {
        self.stop = None;
    }
}

/// Settings on ports that are chosen at the start, with a wide repeat limit.
fn make_settings(name: &str, store: SocketAddr) -> GatewaySettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = GatewaySettings::new(name, any, any, any, store);
    settings.domain = "d1".into();
    settings.probes_per_target = 60;
    settings.repeats = RepeatLimit {
        window: Duration::from_secs(10),
        percent: 20,
        extra: 1_000,
    };
    settings
}
