//! A daemon with its own runtime.

use gentianridge_config::Settings;
use gentianridge_daemon::Daemon;
use std::net::SocketAddr;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::Mutex;

/// Worker threads of one daemon.
const WORKER_THREADS: usize = 2;

/// An entry VM, killed on drop.
///
/// The daemon has its own runtime, so that a kill closes every socket at once,
/// like the end of a process.
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
            .worker_threads(WORKER_THREADS)
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

    /// Loads a file on a VM without a platform and puts it in force.
    ///
    /// # Errors
    ///
    /// Fails if the VM has stopped or the file is invalid.
    pub async fn load(&self, text: String) -> anyhow::Result<()> {
        let guard = self.daemon.lock().await;
        let (Some(daemon), Some(runtime)) = (guard.as_ref(), &self.runtime) else {
            anyhow::bail!("the VM has stopped");
        };
        // The tasks of the services have to run on the runtime of the VM.
        let _runtime_guard = runtime.enter();
        daemon.load(text)
    }

    /// Shuts the daemon down gracefully.
    ///
    /// # Errors
    ///
    /// Fails if the shutdown does not complete.
    pub async fn stop(mut self) -> anyhow::Result<()> {
        let daemon = self.daemon.lock().await.take();
        if let (Some(daemon), Some(runtime)) = (daemon, &self.runtime) {
            runtime.spawn(daemon.stop()).await?;
        }
        self.shut_down_runtime();
        Ok(())
    }

    /// Ends the daemon like a crash.
    pub fn kill(mut self) {
        self.shut_down_runtime();
    }

    fn shut_down_runtime(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for LocalVm {
    fn drop(&mut self) {
        self.shut_down_runtime();
    }
}
