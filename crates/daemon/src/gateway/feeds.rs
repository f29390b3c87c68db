//! Following the platform's store: the configuration and the targets.

use super::state::Gateway;
use gentianridge_adapter::{
    Changes, Row, Store, StoreError, StoreErrorKind, Table, decode_entry, decode_routes,
};
use gentianridge_core::{EventKind, Refresh, Relayed, TargetEntry};
use gentianridge_wire::ListNews;
use rand::RngExt;
use smol_str::SmolStr;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Key of the configuration among what operators wrote.
const CONFIG_KEY: &str = "config";
/// Longest wait of one question for a newer configuration. The store answers
/// at once when there is one; a connection that was forgotten shows by its
/// keep-alive, see [`Store`].
const CONFIG_WAIT: Duration = Duration::from_secs(15);
/// Time between two looks whether this VM has to wait at the store.
const WATCH_CHECK: Duration = Duration::from_millis(250);
/// Shortest and longest pause after a failed call. Jitter keeps VMs from
/// asking together when the store returns.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(1_000);

/// Whether the store answers, as an event when it changes.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    is_down: Cell<bool>,
}

impl StoreHealth {
    fn note(&self, gateway: &Gateway, is_down: bool) {
        if self.is_down.replace(is_down) != is_down {
            gateway.journal.record(if is_down {
                EventKind::StoreDown
            } else {
                EventKind::StoreUp
            });
        }
    }
}

/// Pauses between failed calls that grow and are never equal on two VMs.
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

/// Keeps the newest configuration in force.
pub(crate) async fn follow_config(gateway: Rc<Gateway>, health: Rc<StoreHealth>) {
    let mut after = None;
    let mut backoff = Backoff::new();
    loop {
        if after.is_some() && !gateway.peers.is_watcher(gateway.clock.now()) {
            tokio::select! {
                () = tokio::time::sleep(WATCH_CHECK) => {}
                () = gateway.peers.wait_newer_version() => after = None,
            }
            continue;
        }
        let store = gateway.get_store();
        let result = tokio::select! {
            result = read_config(&store, after) => result,
            () = gateway.peers.wait_newer_version() => {
                // A peer has a newer one, so that this long poll must be stuck.
                after = None;
                continue;
            }
        };
        match result {
            Ok(changes) => {
                health.note(&gateway, false);
                backoff.reset();
                after = Some(changes.version);
                for row in &changes.rows {
                    take_config(&gateway, row);
                }
                gateway.peers.note_load_change();
            }
            Err(error) if error.get_kind() == StoreErrorKind::HistoryGone => after = None,
            Err(error) => {
                log::debug!("cannot read the configuration: {error}");
                health.note(&gateway, true);
                backoff.pause().await;
            }
        }
    }
}

async fn read_config(store: &Store, after: Option<u64>) -> Result<Changes, StoreError> {
    match after {
        None => store.get(Table::Operators, CONFIG_KEY).await,
        Some(after) => store.feed(Table::Operators, after, CONFIG_WAIT).await,
    }
}

fn take_config(gateway: &Rc<Gateway>, row: &Row) {
    if row.key != CONFIG_KEY {
        return;
    }
    let Some(value) = &row.value else {
        log::warn!("the configuration's row has gone; the one in force stays");
        return;
    };
    match decode_routes(value) {
        Ok(table) => {
            gateway.apply_routes(table, "store");
        }
        Err(error) => log::error!("a configuration cannot be read: {error}"),
    }
}

/// Keeps the list of targets, by own readings and by those that peers tell.
pub(crate) async fn follow_targets(gateway: Rc<Gateway>, health: Rc<StoreHealth>) {
    let mut backoff = Backoff::new();
    loop {
        wait_until_due(&gateway).await;
        let after = gateway.with_refresh(|refresh| refresh.get_version());
        let store = gateway.get_store();
        let result = match after {
            None => store.get_all(Table::Targets).await,
            Some(after) => store.feed(Table::Targets, after, Duration::ZERO).await,
        };
        match result {
            Ok(changes) => {
                health.note(&gateway, false);
                backoff.reset();
                take_targets(&gateway, changes, after);
            }
            Err(error) if error.get_kind() == StoreErrorKind::HistoryGone => {
                log::info!("the store dropped the history of the targets; all are read");
                gateway.with_refresh(Refresh::reset);
            }
            Err(error) => {
                log::debug!("cannot read the targets: {error}");
                health.note(&gateway, true);
                gateway.change_targets(|directory, _| directory.set_away());
                tokio::select! {
                    () = backoff.pause() => {}
                    // A peer that reads the store makes it known to all.
                    () = gateway.peers.wait_list() => backoff.reset(),
                }
            }
        }
    }
}

/// Waits until this VM has to read the list itself and drops lapsed targets
/// that are due meanwhile.
async fn wait_until_due(gateway: &Gateway) {
    while let Some(due) = gateway.with_refresh(|refresh| refresh.get_due()) {
        let now = gateway.clock.now();
        if due <= now {
            return;
        }
        let expiry = gateway.next_expiry().filter(|at| *at < due);
        tokio::select! {
            () = tokio::time::sleep_until(expiry.unwrap_or(due).into()) => {
                let now = gateway.clock.now();
                gateway.change_targets(|directory, changed| directory.expire(now, changed));
            }
            () = gateway.peers.wait_list() => {}
        }
    }
}

/// Takes in a reading of this VM and tells the peers.
fn take_targets(gateway: &Gateway, changes: Changes, after: Option<u64>) {
    let now = gateway.clock.now();
    let (entries, mut gone) = decode_rows(changes.rows);
    let mut news = ListNews {
        base: after.unwrap_or(changes.version),
        version: changes.version,
        ..ListNews::default()
    };
    gateway.change_targets(|directory, changed| {
        directory.set_readable(now);
        news.settle_left = directory.get_settle_left(now);
        gone.retain(|id| directory.is_listed(id));
        news.entries = entries
            .iter()
            .filter(|entry| directory.is_news(entry))
            .cloned()
            .collect();
        if after.is_none() {
            *changed = directory.read_all(now, entries);
            return;
        }
        for entry in entries {
            directory.put(entry, changed);
        }
        for id in &gone {
            directory.remove(now, id, changed);
        }
    });
    news.gone = gone;
    let draw = rand::rng().random();
    gateway.with_refresh(|refresh| refresh.note_read(now, changes.version, draw));
    if after.is_some() {
        gateway.peers.tell_list(news);
    }
}

fn decode_rows(rows: Vec<Row>) -> (Vec<TargetEntry>, Vec<SmolStr>) {
    let mut entries = Vec::with_capacity(rows.len());
    let mut gone = Vec::new();
    for row in rows {
        let Some(value) = &row.value else {
            gone.push(row.key);
            continue;
        };
        match decode_entry(&row.key, value) {
            Ok(entry) => entries.push(entry),
            // An entry of another writer names no target; one that it replaced
            // says nothing any more either, but its target may well live.
            Err(error) => log::warn!("entry {} cannot be read: {error}", row.key),
        }
    }
    (entries, gone)
}

/// Takes in a reading that a peer tells.
pub(crate) fn take_list_news(gateway: &Gateway, news: &ListNews) {
    let now = gateway.clock.now();
    let draw = rand::rng().random();
    let judged = gateway.with_refresh(|refresh| refresh.judge(now, news.base, news.version, draw));
    if judged != Relayed::Gap {
        gateway.change_targets(|directory, changed| {
            directory.set_readable(now);
            directory.extend_settle(now, news.settle_left);
            if judged == Relayed::Applied {
                for entry in &news.entries {
                    directory.put(entry.clone(), changed);
                }
                for id in &news.gone {
                    directory.remove(now, id, changed);
                }
            }
        });
    }
    gateway.peers.note_list();
}
