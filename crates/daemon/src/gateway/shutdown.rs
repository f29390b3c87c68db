//! Planned stop of the daemon.

use super::callers::ShutdownStage;
use super::peers::unregister;
use super::state::Gateway;
use gentianridge_core::{EventKind, StopSchedule};
use rand::RngExt;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout_at};
use tokio_util::task::TaskTracker;

/// Time from the exit of a process until its successor serves requests: a restart by
/// the platform, and the first answers of the store.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Time over which the retries of callers after a restart are spread.
const RESTART_SPREAD: Duration = Duration::from_millis(500);
/// Pause in milliseconds after which a caller reaches another VM with a new connection.
const OTHER_VM_PAUSE_MS: std::ops::RangeInclusive<u64> = 50..=250;

/// State of a planned stop.
impl Gateway {
    /// Returns true after the signal of a planned stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.get_stop().is_some()
    }

    /// Marks this VM as not ready, and limits its calls to the time that is left.
    fn start_stop(&self) -> StopSchedule {
        let stop = StopSchedule::new(self.clock.now(), self.get_settings().grace);
        self.set_stop(stop);
        self.journal.record(EventKind::VmStopping);
        self.peers.request_round();
        self.for_each_service(|service| service.stop(stop));
        stop
    }

    /// Returns the deadline that is stated to a target for a request with the given one.
    ///
    /// During a planned stop the target has to answer before the process exits.
    pub(crate) fn limit_work(&self, deadline: Instant) -> Instant {
        match self.get_stop() {
            Some(stop) => deadline.min(stop.work_until),
            None => deadline,
        }
    }

    /// Returns the `Retry-After` of a request that is refused because this VM stops: short
    /// if another VM is live, otherwise the time until this one is back.
    pub(crate) fn get_stop_retry_after(&self) -> Duration {
        let now = self.clock.now();
        let mut rng = rand::rng();
        if self.peers.count_live(now) > 0 {
            return Duration::from_millis(rng.random_range(OTHER_VM_PAUSE_MS));
        }
        let until_exit = self.get_stop().map_or(Duration::ZERO, |stop| {
            stop.exit.saturating_duration_since(now)
        });
        until_exit + RESTART_TIME + RESTART_SPREAD.mul_f64(rng.random())
    }
}

/// Serves and closes callers' connections until the process has to exit.
///
/// The balancer may send connections until the end, for example if no other VM is in its
/// rotation. Each request that is read gets an answer:
/// docs/decisions/0020-planned-stop.md.
pub(super) async fn shut_down(
    gateway: &Rc<Gateway>,
    stages: &watch::Sender<ShutdownStage>,
    accept: JoinHandle<()>,
    connections: &TaskTracker,
) {
    let stop = gateway.start_stop();
    tokio::task::spawn_local(unregister(gateway.clone()));
    stages.send_replace(ShutdownStage::CloseAfterAnswer);
    sleep_until(stop.close_idle.into()).await;
    stages.send_replace(ShutdownStage::CloseIdle);
    connections.close();
    // Both a timeout and the end of all connections lead to the next stage.
    let _ = timeout_at(stop.answer_until.into(), connections.wait()).await;
    stages.send_replace(ShutdownStage::CloseListener);
    let all_closed = async {
        if let Err(error) = accept.await {
            log::error!("the task that accepts connections failed: {error}");
        }
        connections.wait().await;
    };
    tokio::pin!(all_closed);
    if timeout_at(stop.answer_until.into(), &mut all_closed)
        .await
        .is_ok()
    {
        return;
    }
    gateway.end_answers();
    if timeout_at(stop.exit.into(), all_closed).await.is_err() {
        log::warn!(
            "{} connections closed at the end of the grace time",
            connections.len()
        );
    }
}
