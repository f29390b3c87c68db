//! Reads of the platform's store: the configuration and the list of targets.

use super::state::Gateway;
use crate::telemetry::STATE_LOG_TARGET;
use gentianridge_adapter::{
    Changes, Row, StoreError, StoreErrorKind, Table, decode_entry, decode_routes,
};
use gentianridge_core::{EventKind, TargetListRead, TargetListUpdate, UpdateOutcome};
use rand::RngExt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Key of the configuration in the operators' table.
const CONFIG_KEY: &str = "config";
/// Shortest and longest pause after a failed call. Jitter spreads the calls of
/// the VMs when the store returns.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(1_000);

/// Exponential backoff with jitter between failed calls.
struct Backoff {
    next: Duration,
}

impl Backoff {
    fn new() -> Self {
        Self { next: MIN_PAUSE }
    }

    fn reset(&mut self) {
        self.next = MIN_PAUSE;
    }

    async fn pause(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(MAX_PAUSE);
    }
}

fn apply_config_row(gateway: &Rc<Gateway>, row: &Row) {
    if row.key != CONFIG_KEY {
        return;
    }
    let Some(value) = &row.value else {
        log::warn!("the configuration's row was removed; the configuration in force stays");
        return;
    };
    match decode_routes(value) {
        Ok(table) => {
            gateway.apply_routes(table, "store");
        }
        Err(error) => log::error!("invalid configuration in the store: {error}"),
    }
}

/// Why a VM reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadReason {
    /// Its refresh timer expired: it reads for the fleet.
    Due,
    /// It missed changes of the list that a peer has read.
    MissedChanges,
    /// A peer has a newer configuration in force.
    NewerConfig,
}

/// Keeps the configuration and the list of targets current, by reads of this VM
/// and by updates from peers.
///
/// A long poll would receive a configuration sooner, but a store that silently
/// ignores this VM cannot be distinguished from one without changes.
pub(crate) async fn follow_store(gateway: Rc<Gateway>) {
    let mut follower = Follower {
        gateway,
        is_down: false,
        config_after: None,
        backoff: Backoff::new(),
    };
    loop {
        let reason = wait_for_reason(&follower.gateway).await;
        let is_success = match reason {
            ReadReason::Due => follower.read_all().await,
            ReadReason::MissedChanges => follower.read_missed_changes().await,
            ReadReason::NewerConfig => follower.read_config(None).await,
        };
        follower.record_store_state(is_success);
        // If the store does not have the newer version of the configuration or of
        // the list, the next read waits for the backoff.
        let is_behind = is_behind(&follower.gateway);
        let gateway = follower.gateway.clone();
        let now = gateway.clock.now();
        let due = gateway.get_list_due().filter(|due| *due > now);
        let is_refreshed = due.is_some() && !gateway.list.borrow().has_gap();
        if is_success && is_refreshed && !is_behind {
            follower.backoff.reset();
        }
        let is_waiting_for_config = is_behind && reason == ReadReason::NewerConfig;
        if is_success && is_refreshed && !is_waiting_for_config {
            continue;
        }
        tokio::select! {
            () = follower.backoff.pause() => {}
            () = tokio::time::sleep_until(due.unwrap_or(now).into()), if is_success && is_refreshed => {}
            // A list update of a peer shows that the store answers.
            () = gateway.peers.wait_list_update() => follower.backoff.reset(),
        }
    }
}

/// Returns true if a peer has reported a newer configuration than the one in
/// force.
fn is_behind(gateway: &Gateway) -> bool {
    gateway.peers.get_newest_version() > gateway.get_version()
}

/// Waits until this VM must read the store, and drops expired targets meanwhile.
async fn wait_for_reason(gateway: &Gateway) -> ReadReason {
    loop {
        // The list has priority: a configuration version that the store does
        // not have must not prevent reads of the list.
        let now = gateway.clock.now();
        if gateway.list.borrow().has_gap() {
            return ReadReason::MissedChanges;
        }
        let Some(due) = gateway.get_list_due().filter(|due| *due > now) else {
            return ReadReason::Due;
        };
        if is_behind(gateway) {
            return ReadReason::NewerConfig;
        }
        let expiry = gateway.list.borrow().next_expiry().filter(|at| *at < due);
        tokio::select! {
            () = tokio::time::sleep_until(expiry.unwrap_or(due).into()) => {
                let now = gateway.clock.now();
                gateway.change_targets(|list, changed| list.expire(now, changed));
            }
            () = gateway.peers.wait_list_update() => {}
            () = gateway.peers.wait_newer_version() => {}
        }
    }
}

/// State of the task that reads the store.
struct Follower {
    gateway: Rc<Gateway>,
    is_down: bool,
    /// Version of the store at the last read of the configuration.
    config_after: Option<u64>,
    backoff: Backoff,
}

impl Follower {
    /// Reads the changes of the configuration and of the targets; returns false
    /// if either cannot be read.
    async fn read_all(&mut self) -> bool {
        let gateway = self.gateway.clone();
        gateway.list_reader.start(gateway.clock.now());
        let (config, targets) =
            tokio::join!(self.read_config(self.config_after), read_targets(&gateway));
        let is_success = config && targets.is_ok();
        if let Ok(Some(update)) = targets
            && config
        {
            let update = TargetListUpdate {
                revision: gateway.get_version(),
                ..update
            };
            gateway.peers.queue_list_update(gateway.clock.now(), update);
        }
        self.record_list_result(is_success)
    }

    /// Reads changes of the targets that peers have read already.
    async fn read_missed_changes(&mut self) -> bool {
        self.gateway.list_reader.start(self.gateway.clock.now());
        let targets = read_targets(&self.gateway).await;
        self.record_list_result(targets.is_ok())
    }

    fn record_list_result(&self, is_success: bool) -> bool {
        if !is_success {
            self.gateway.list.borrow_mut().record_failure();
        }
        self.gateway.list_reader.finish(is_success);
        is_success
    }

    async fn read_config(&mut self, after: Option<u64>) -> bool {
        let store = self.gateway.get_store();
        let changed = match after {
            None => None,
            Some(after) => {
                let result = store
                    .poll_changes(Table::Operators, after, Duration::ZERO)
                    .await;
                filter_history_gone(result)
            }
        };
        let result = match changed {
            Some(result) => result,
            None => store.get(Table::Operators, CONFIG_KEY).await,
        };
        self.gateway
            .metrics
            .record_store_call("config", result.is_ok());
        match result {
            Ok(changes) => {
                self.config_after = Some(changes.version);
                for row in &changes.rows {
                    apply_config_row(&self.gateway, row);
                }
                true
            }
            Err(error) => {
                log::debug!("cannot read the configuration: {error}");
                false
            }
        }
    }

    /// Records an event if the store became available or unavailable.
    fn record_store_state(&mut self, is_success: bool) {
        if std::mem::replace(&mut self.is_down, !is_success) == is_success {
            self.gateway.journal.record(if is_success {
                EventKind::StoreUp
            } else {
                EventKind::StoreDown
            });
        }
    }
}

/// Returns the result of a feed, `None` if the table must be read in full: the
/// store may drop its history at any time, which is not an outage.
fn filter_history_gone(result: Result<Changes, StoreError>) -> Option<Result<Changes, StoreError>> {
    let is_gone = |error: &StoreError| error.get_kind() == StoreErrorKind::HistoryGone;
    if result.as_ref().is_err_and(is_gone) {
        log::info!(target: STATE_LOG_TARGET, "the store dropped its history; reading the full table");
        return None;
    }
    Some(result)
}

/// Reads the targets; returns the update to send to the peers.
async fn read_targets(gateway: &Gateway) -> Result<Option<TargetListUpdate>, StoreError> {
    let sent_at = gateway.clock.now();
    let after = {
        let list = gateway.list.borrow();
        list.get_version().filter(|_| !list.needs_full_read())
    };
    let store = gateway.get_store();
    let changed = match after {
        None => None,
        Some(after) => {
            let result = store
                .poll_changes(Table::Targets, after, Duration::ZERO)
                .await;
            filter_history_gone(result)
        }
    };
    let is_full = changed.is_none();
    let result = match changed {
        Some(result) => result,
        None => store.get_all(Table::Targets).await,
    };
    gateway.metrics.record_store_call("targets", result.is_ok());
    let changes = result.inspect_err(|error| log::debug!("cannot read the targets: {error}"))?;
    Ok(apply_target_changes(gateway, sent_at, changes, is_full))
}

/// Applies a read of this VM; returns the update to send to the peers.
fn apply_target_changes(
    gateway: &Gateway,
    sent_at: Instant,
    changes: Changes,
    is_full: bool,
) -> Option<TargetListUpdate> {
    let now = gateway.clock.now();
    let draw = rand::rng().random();
    let read = decode_read(changes, is_full);
    let applied = gateway
        .change_targets(|list, changed| list.apply_read(now, sent_at, read, draw, changed))?;
    log_list_update(&applied.update, "store");
    gateway.notify_loaded();
    applied.is_relayable.then_some(applied.update)
}

fn decode_read(changes: Changes, is_full: bool) -> TargetListRead {
    let mut read = TargetListRead {
        version: changes.version,
        is_full,
        ..TargetListRead::default()
    };
    for row in keep_last_changes(changes.rows) {
        let Some(value) = &row.value else {
            read.removed.push(row.key);
            continue;
        };
        match decode_entry(&row.key, value) {
            Ok(entry) => read.entries.push(entry),
            // An entry that cannot be decoded names no target. It is not
            // recorded as removed, since it may have replaced the entry of a
            // target that is still running.
            Err(error) => {
                log::warn!("entry {} cannot be decoded: {error}", row.key);
                read.unreadable.push(row.key);
            }
        }
    }
    read
}

/// Keeps the last change of each row. The history holds every change, so that a
/// target that registers and leaves between two reads has an entry and a removal.
fn keep_last_changes(mut rows: Vec<Row>) -> Vec<Row> {
    // The sort is stable: changes of one row stay in their order.
    rows.sort_by(|a, b| a.key.cmp(&b.key));
    rows.reverse();
    rows.dedup_by(|older, newer| older.key == newer.key);
    rows
}

/// Applies a list update of a peer, and queues it for other peers.
pub(crate) fn apply_list_update(gateway: &Gateway, update: TargetListUpdate) {
    let now = gateway.clock.now();
    let draw = rand::rng().random();
    match gateway.change_targets(|list, changed| list.apply_update(now, &update, draw, changed)) {
        UpdateOutcome::Stale => return,
        UpdateOutcome::Applied => log_list_update(&update, "peer"),
        UpdateOutcome::Unchanged | UpdateOutcome::Gap => {}
    }
    gateway.list_reader.confirm();
    gateway.peers.record_version(update.revision);
    gateway.peers.queue_list_update(now, update);
    gateway.peers.notify_list_update();
}

/// Writes a log line for each target whose entry changed.
fn log_list_update(update: &TargetListUpdate, source: &str) {
    for entry in &update.entries {
        log::info!(
            target: STATE_LOG_TARGET,
            target = entry.incarnation.id.as_str(),
            service = entry.service.as_str(),
            addr = entry.addr.to_string().as_str(),
            born_ms = entry.incarnation.born_ms,
            is_draining = entry.is_draining,
            source = source,
            store_version = update.version;
            "target listed"
        );
    }
    for id in &update.removed {
        log::info!(
            target: STATE_LOG_TARGET,
            target = id.as_str(),
            source = source,
            store_version = update.version,
            settle_left_ms = update.settle_left.as_millis() as u64;
            "target no longer listed"
        );
    }
}
