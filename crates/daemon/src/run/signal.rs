//! Running until a stop signal arrives.

use super::Daemon;
use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT, then drains and stops the daemon.
///
/// # Errors
///
/// Fails if a signal handler cannot be installed.
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
