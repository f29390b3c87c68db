//! Reads of the platform's store: the configuration and the list of targets.

use super::backoff::Backoff;
use super::list_log::log_list_update;
use super::peers::{fetch_from_seeds, is_behind, load_state};
use super::state::{Gateway, get_list_bound};
use crate::telemetry::STATE_LOG_TARGET;
use gentianridge_adapter::{
    Changes, Row, StoreError, StoreErrorKind, Table, decode_entry, decode_routes,
};
use gentianridge_core::{
    EventKind, ReadTurn, StoreVersion, TargetListRead, TargetListUpdate, UpdateOutcome,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Key of the configuration in the operators' table.
const CONFIG_KEY: &str = "config";
/// VMs up to which each repeats failed reads with the pauses of [`Backoff`]; a larger fleet makes
/// as many attempts together.
const VMS_PER_ATTEMPT: f64 = 8.0;
/// Longest time for requests of the state from peers after a start.
const MAX_START_WAIT: Duration = Duration::from_millis(1_500);

/// Outcome of a configuration that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConfigOutcome {
    /// It is in force from now on.
    InForce,
    /// One that is at least as new is in force.
    NotNewer,
    /// It cannot be decoded.
    Invalid,
}

/// Puts a configuration in force that the store holds, if it is newer than the one in
/// force.
pub(super) fn apply_config(
    gateway: &Rc<Gateway>,
    value: &[u8],
    source: &'static str,
) -> ConfigOutcome {
    let table = match decode_routes(value) {
        Ok(table) => table,
        Err(error) => {
            log::error!("invalid configuration from a {source}: {error}");
            return ConfigOutcome::Invalid;
        }
    };
    if !gateway.apply_routes(table, source) {
        return ConfigOutcome::NotNewer;
    }
    gateway.set_config_value(value);
    ConfigOutcome::InForce
}

/// Why a VM reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadReason {
    /// Its refresh timer expired: it reads for the fleet.
    Due,
    /// It lacks changes of the list, and no peer has them.
    MissedChanges,
    /// A configuration exists that no peer has, or none has a recent proof of it.
    NewerConfig,
}

/// Keeps the configuration and the list of targets current, by reads of this VM.
///
/// The VM whose turn it is waits at the store for a change, for a fraction of the
/// bound. The answer shows the state at the time of the call: a store that silently
/// ignores this VM cannot be distinguished from one without changes, so a longer wait
/// would make the list too old.
pub(crate) async fn follow_store(gateway: Rc<Gateway>) {
    let mut follower = Follower {
        gateway,
        is_down: false,
        is_config_readable: true,
        config_after: None,
        is_config_valid: true,
        backoff: Backoff::new(),
    };
    // Registration continues if it takes longer, and the state may come from peers.
    let started = tokio::time::timeout(MAX_START_WAIT, load_state(&follower.gateway));
    if started.await.is_err() {
        log::info!(target: STATE_LOG_TARGET, "no state from peers; reading the store");
    }
    loop {
        let reason = wait_for_reason(&follower.gateway).await;
        let gateway = follower.gateway.clone();
        let started_at = gateway.clock.now();
        let is_success = match reason {
            ReadReason::Due => follower.read_all().await,
            ReadReason::MissedChanges => follower.read_missed_changes().await,
            ReadReason::NewerConfig => follower.read_config(None, Duration::ZERO).await,
        };
        follower.record_store_state(is_success);
        if is_success && is_refreshed(&gateway, started_at) {
            follower.backoff.reset();
            continue;
        }
        if !gateway.is_loaded() {
            // A store that turns this VM away may serve the seeds.
            tokio::task::spawn_local(fetch_from_seeds(gateway.clone()));
        }
        tokio::select! {
            () = follower.backoff.pause(get_pause_factor(&gateway)) => {}
            // A list update of a peer shows that the store answers.
            () = gateway.peers.wait_list_update() => follower.backoff.reset(),
        }
    }
}

/// Returns true if the list shows the state of the store at `since` or later. A store whose
/// reads lag does not bring it forward, and must not be called without pause.
fn is_refreshed(gateway: &Gateway, since: Instant) -> bool {
    let now = gateway.clock.now();
    let age = gateway.list.borrow().get_age(now);
    age.is_some_and(|age| age <= now.saturating_duration_since(since))
}

/// Returns the factor by which this VM prolongs the pauses after failed reads.
///
/// While the store is away, each VM tries the less often the more there are: one that
/// succeeds sends its update to all. A VM without state has no time to lose.
fn get_pause_factor(gateway: &Gateway) -> f64 {
    if !gateway.is_loaded() {
        return 1.0;
    }
    let live = gateway.peers.count_live(gateway.clock.now()) + 1;
    (live as f64 / VMS_PER_ATTEMPT).max(1.0)
}

/// Waits until this VM must read the store, and drops expired targets meanwhile.
async fn wait_for_reason(gateway: &Gateway) -> ReadReason {
    loop {
        // The list has priority: a configuration version that the store does
        // not have must not prevent reads of the list.
        let now = gateway.clock.now();
        expire_list(gateway, now);
        let Some(due) = gateway.get_list_due().filter(|due| *due > now) else {
            return ReadReason::Due;
        };
        if gateway.peers.take_store_read_request() {
            if gateway.list.borrow().has_gap() {
                return ReadReason::MissedChanges;
            }
            if is_behind(gateway) || gateway.is_proof_due() {
                return ReadReason::NewerConfig;
            }
        }
        let expiry = gateway.list.borrow().next_expiry().filter(|at| *at < due);
        tokio::select! {
            () = tokio::time::sleep_until(expiry.unwrap_or(due).into()) => {}
            () = gateway.peers.wait_list_update() => {}
            () = gateway.peers.wait_store_read() => {}
        }
    }
}

/// Drops what has expired, also while reads fail.
fn expire_list(gateway: &Gateway, now: Instant) {
    let expiry = gateway.list.borrow().next_expiry();
    if expiry.is_some_and(|at| at <= now) {
        gateway.change_targets(|list, changed| list.expire(now, changed));
    }
}

/// State of the task that reads the store.
struct Follower {
    gateway: Rc<Gateway>,
    is_down: bool,
    /// True if the last read of the configuration succeeded.
    is_config_readable: bool,
    /// Version of the store at the last read of the configuration.
    config_after: Option<StoreVersion>,
    /// False if the store holds a configuration that cannot be decoded.
    is_config_valid: bool,
    backoff: Backoff,
}

impl Follower {
    /// Reads the changes of the configuration and of the targets, and waits for one if
    /// there is none; returns false if either cannot be read.
    async fn read_all(&mut self) -> bool {
        let gateway = self.gateway.clone();
        let wait = self.get_wait();
        gateway.list_reader.start(gateway.clock.now() + wait);
        let is_config_readable = self.is_config_readable;
        let read_targets = async {
            let read = read_targets(&gateway, wait).await;
            // An update restarts the timers of all VMs, which must not end the reads of
            // the configuration if this VM cannot read it.
            if let Ok(Some(update)) = &read
                && is_config_readable
            {
                let update = TargetListUpdate {
                    revision: gateway.get_version(),
                    ..update.clone()
                };
                gateway.peers.queue_list_update(gateway.clock.now(), update);
            }
            read.is_ok()
        };
        let after = self.config_after;
        let (config, targets) = tokio::join!(self.read_config(after, wait), read_targets);
        self.is_config_readable = config;
        self.record_list_result(config && targets)
    }

    /// Returns how long the store may wait for a change. The first reads of this VM, those
    /// after a failure, and those in place of another VM are answered at once: the timers
    /// of all VMs are about to end then.
    fn get_wait(&self) -> Duration {
        let gateway = &self.gateway;
        let bound = get_list_bound(&gateway.get_settings());
        let cycle = bound.mul_f64(ReadTurn::CYCLE);
        let list = gateway.list.borrow();
        let age = list.get_age(gateway.clock.now());
        let is_on_time = age.is_some_and(|age| age < cycle * 2);
        let is_following = self.config_after.is_some() && !self.is_down;
        if is_following && is_on_time && !list.needs_full_read() {
            cycle
        } else {
            Duration::ZERO
        }
    }

    /// Reads changes of the targets that neither this VM nor its peers have.
    async fn read_missed_changes(&mut self) -> bool {
        self.gateway.list_reader.start(self.gateway.clock.now());
        let targets = read_targets(&self.gateway, Duration::ZERO).await;
        self.record_list_result(targets.is_ok())
    }

    fn record_list_result(&self, is_success: bool) -> bool {
        if !is_success {
            self.gateway.list.borrow_mut().record_failure();
        }
        self.gateway.list_reader.finish(is_success);
        is_success
    }

    async fn read_config(&mut self, after: Option<StoreVersion>, wait: Duration) -> bool {
        let store = self.gateway.get_store();
        let sent = self.gateway.clock.since_boot();
        let changed = match after {
            None => None,
            Some(after) => {
                let result = store.poll_changes(Table::Operators, after, wait).await;
                filter_incomplete(result)
            }
        };
        let is_full = changed.is_none();
        let result = match changed {
            Some(result) => result,
            None => store.get_all(Table::Operators).await,
        };
        self.gateway
            .metrics
            .record_store_call("config", result.is_ok());
        match result.and_then(|changes| self.gateway.check_era(changes)) {
            Ok(changes) => {
                self.config_after = Some(changes.version);
                self.gateway.record_store_time(sent, changes.time);
                for row in &changes.rows {
                    self.apply_config_row(row);
                }
                if self.is_config_valid {
                    self.gateway.record_config_read(sent);
                }
                let gateway = &self.gateway;
                gateway.apply_evacuation_rows(&changes.rows, changes.version, is_full);
                true
            }
            Err(error) => {
                log::debug!("cannot read the configuration: {error}");
                false
            }
        }
    }

    fn apply_config_row(&mut self, row: &Row) {
        if row.key != CONFIG_KEY {
            return;
        }
        match &row.value {
            Some(value) => {
                let outcome = apply_config(&self.gateway, value, "store");
                self.is_config_valid = outcome != ConfigOutcome::Invalid;
            }
            None => {
                log::warn!("the configuration's row was removed; the configuration in force stays");
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

/// Returns the result of a feed, `None` if the table must be read in full: the store may drop
/// its history at any time or return from a copy, which is not an outage.
fn filter_incomplete(result: Result<Changes, StoreError>) -> Option<Result<Changes, StoreError>> {
    match result {
        Err(error)
            if matches!(
                error.get_kind(),
                StoreErrorKind::HistoryGone | StoreErrorKind::EraChanged
            ) =>
        {
            log::info!(target: STATE_LOG_TARGET, "reading the full table: {error}");
            None
        }
        result => Some(result),
    }
}

/// Reads the targets; returns the update to send to the peers.
async fn read_targets(
    gateway: &Gateway,
    wait: Duration,
) -> Result<Option<TargetListUpdate>, StoreError> {
    let sent_at = gateway.clock.now();
    let after = {
        let list = gateway.list.borrow();
        list.get_version().filter(|_| !list.needs_full_read())
    };
    let store = gateway.get_store();
    let changed = match after {
        None => None,
        Some(after) => {
            let result = store.poll_changes(Table::Targets, after, wait).await;
            filter_incomplete(result)
        }
    };
    let is_full = changed.is_none();
    let full_sent_at = gateway.clock.now();
    let result = match changed {
        Some(result) => result,
        None => store.get_all(Table::Targets).await,
    };
    gateway.metrics.record_store_call("targets", result.is_ok());
    let changes = result
        .and_then(|changes| gateway.check_era(changes))
        .inspect_err(|error| log::debug!("cannot read the targets: {error}"))?;
    let sent_at = if is_full { full_sent_at } else { sent_at };
    let read = decode_read(changes, is_full);
    Ok(apply_target_changes(gateway, sent_at, read))
}

/// Applies a read of this VM; returns the update to send to the peers.
fn apply_target_changes(
    gateway: &Gateway,
    sent_at: Instant,
    read: TargetListRead,
) -> Option<TargetListUpdate> {
    let now = gateway.clock.now();
    let turn = gateway.peers.get_turn(now, gateway.get_version());
    let restored = gateway.get_restored(read.version.era);
    let applied = gateway.change_targets(|list, changed| {
        list.set_restored(restored);
        list.apply_read(now, sent_at, read, turn, changed)
    })?;
    let update = applied.update;
    log_list_update(&update, "store");
    gateway.update_log.borrow_mut().push(&update);
    gateway.notify_loaded();
    if applied.is_relayable {
        return Some(update);
    }
    // The first read has no base. If the whole fleet starts, the others fetch the list.
    let is_bootstrap = gateway.get_settings().is_bootstrap;
    is_bootstrap.then(|| update.omit_changes())
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

/// Applies a list update of a peer, and queues it for other peers. If changes before it
/// are missing, they are fetched from the peer.
pub(super) fn apply_list_update(
    gateway: &Gateway,
    update: TargetListUpdate,
    from: SocketAddr,
) -> UpdateOutcome {
    let now = gateway.clock.now();
    let turn = gateway.peers.get_turn(now, gateway.get_version());
    let restored = gateway.get_restored(update.version.era);
    let outcome = gateway.change_targets(|list, changed| {
        list.set_restored(restored);
        list.apply_update(now, &update, turn, changed)
    });
    match outcome {
        UpdateOutcome::Stale => return outcome,
        UpdateOutcome::Corrupt => {
            log::error!(
                "list {} of {from} does not match its digest",
                update.version
            );
            return outcome;
        }
        UpdateOutcome::Gap => {
            gateway.peers.set_list_holder(from);
            gateway.peers.record_version(update.revision);
            return outcome;
        }
        UpdateOutcome::Applied => {
            log_list_update(&update, "peer");
            gateway.update_log.borrow_mut().push(&update);
            gateway.notify_loaded();
        }
        UpdateOutcome::Unchanged => {}
    }
    gateway.list_reader.confirm();
    gateway.peers.record_version(update.revision);
    gateway.peers.queue_list_update(now, update);
    gateway.peers.notify_list_update();
    outcome
}
