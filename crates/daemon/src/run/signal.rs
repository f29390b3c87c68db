//! Running until the operating system asks for a stop.

use super::Daemon;
use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT and stops the daemon in the planned way.
///
/// # Errors
///
/// Fails if the signals cannot be watched.
pub async fn run_until_signal(daemon: Daemon) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.stop().await;
    Ok(())
}
