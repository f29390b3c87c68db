//! Tasks that run as long as the process.

use std::time::Duration;

/// Pause before a task that ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Runs a task on the local task set, and starts it again whenever it ends.
///
/// An unexpected error ends one task, not the process, and a process without its
/// gossip or without its reads of the store would continue with outdated state. `make` is called
/// for each start.
pub async fn supervise<F: Future<Output = ()> + 'static>(
    name: &'static str,
    mut make: impl FnMut() -> F,
) {
    loop {
        match tokio::task::spawn_local(make()).await {
            Ok(()) => log::error!("task {name} ended; starting it again"),
            Err(error) => log::error!("task {name} failed; starting it again: {error}"),
        }
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}
