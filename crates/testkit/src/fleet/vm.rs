//! One daemon with a runtime of its own.

use gentianridge_config::Settings;
use gentianridge_daemon::Daemon;
use std::net::SocketAddr;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::Mutex;

/// Threads of one daemon.
const WORKERS: usize = 2;

/// An entry VM; dropping it kills it.
///
/// The runtime of its own makes a kill close every socket at once, as the end
/// of a process does.
#[derive(Debug)]
pub struct LocalVm {
    name: String,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    daemon: Mutex<Option<Daemon>>,
    runtime: Option<Runtime>,
}

impl LocalVm {
    /// Starts a daemon with the settings.
    ///
    /// # Errors
    ///
    /// Fails if the daemon cannot be started.
    pub async fn start(settings: Settings) -> anyhow::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKERS)
            .thread_name(format!("vm-{}", settings.vm))
            .enable_all()
            .build()?;
        let daemon = runtime.spawn(Daemon::start(settings)).await??;
        Ok(Self {
            name: daemon.get_vm().to_owned(),
            callers: daemon.get_callers(),
            operators: daemon.get_operators(),
            peers: daemon.get_peers(),
            daemon: Mutex::new(Some(daemon)),
            runtime: Some(runtime),
        })
    }

    /// Returns the name.
    pub fn get_name(&self) -> &str {
        &self.name
    }

    /// Returns the address for callers.
    pub fn get_callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address of the operators' paths.
    pub fn get_operators(&self) -> SocketAddr {
        self.operators
    }

    /// Returns the address for messages of peers.
    pub fn get_peers(&self) -> SocketAddr {
        self.peers
    }

    /// Returns the number of the revision in force.
    pub async fn get_revision(&self) -> u64 {
        self.daemon
            .lock()
            .await
            .as_ref()
            .map_or(0, Daemon::get_revision)
    }

    /// Puts a file in force on a VM without a platform.
    ///
    /// # Errors
    ///
    /// Fails if the VM has stopped or the file is faulty.
    pub async fn load(&self, text: String) -> anyhow::Result<()> {
        let guard = self.daemon.lock().await;
        let (Some(daemon), Some(runtime)) = (guard.as_ref(), &self.runtime) else {
            anyhow::bail!("the VM has stopped");
        };
        // Tasks of the services belong to the runtime of the VM.
        let _entered = runtime.enter();
        daemon.load(text)
    }

    /// Stops the daemon in the planned way.
    ///
    /// # Errors
    ///
    /// Fails if the stop did not come to its end.
    pub async fn stop(mut self) -> anyhow::Result<()> {
        let daemon = self.daemon.lock().await.take();
        if let (Some(daemon), Some(runtime)) = (daemon, &self.runtime) {
            runtime.spawn(daemon.stop()).await?;
        }
        self.end();
        Ok(())
    }

    /// Ends the daemon as a crash would.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for LocalVm {
    fn drop(&mut self) {
        self.end();
    }
}
