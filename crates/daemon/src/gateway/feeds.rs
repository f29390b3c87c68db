//! Following the platform's store: the configuration and the targets.

use super::state::Gateway;
use gentianridge_adapter::{
    Changes, Row, Store, StoreError, StoreErrorKind, Table, decode_entry, decode_routes,
};
use gentianridge_core::EventKind;
use rand::RngExt;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Key of the configuration among what operators wrote.
const CONFIG_KEY: &str = "config";
/// Longest wait of one question for a newer configuration. The store answers
/// at once when there is one; a connection that was forgotten shows by its
/// keep-alive, see [`Store`].
const CONFIG_WAIT: Duration = Duration::from_secs(15);
/// Shortest and longest pause after a failed call. Jitter keeps VMs from
/// asking together when the store returns.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(1_000);
/// Share of the drain bound after which the list of targets is read again;
/// what is left covers the call and a request on its way.
const LIST_SHARE: f64 = 0.6;

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

/// Keeps the list of targets.
pub(crate) async fn follow_targets(gateway: Rc<Gateway>, health: Rc<StoreHealth>) {
    let mut after = None;
    let mut backoff = Backoff::new();
    loop {
        let store = gateway.get_store();
        let result = match after {
            None => store.get_all(Table::Targets).await,
            Some(after) => store.feed(Table::Targets, after, Duration::ZERO).await,
        };
        match result {
            Ok(changes) => {
                health.note(&gateway, false);
                backoff.reset();
                let is_whole = after.is_none();
                after = Some(changes.version);
                take_targets(&gateway, changes, is_whole);
                pause_until_next(&gateway).await;
            }
            Err(error) if error.get_kind() == StoreErrorKind::HistoryGone => after = None,
            Err(error) => {
                log::debug!("cannot read the targets: {error}");
                health.note(&gateway, true);
                gateway.change_targets(|directory, _| directory.set_away());
                backoff.pause().await;
            }
        }
    }
}

/// Waits for the next reading and drops lapsed targets that are due meanwhile.
async fn pause_until_next(gateway: &Gateway) {
    let period = gateway.get_settings().drain.mul_f64(LIST_SHARE);
    let next = gateway.clock.now() + period;
    while let Some(expiry) = gateway.next_expiry().filter(|at| *at < next) {
        tokio::time::sleep_until(expiry.into()).await;
        let now = gateway.clock.now();
        gateway.change_targets(|directory, changed| directory.expire(now, changed));
    }
    tokio::time::sleep_until(next.into()).await;
}

fn take_targets(gateway: &Gateway, changes: Changes, is_whole: bool) {
    let now = gateway.clock.now();
    let mut entries = Vec::with_capacity(changes.rows.len());
    let mut gone = Vec::new();
    for row in changes.rows {
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
    gateway.change_targets(|directory, changed| {
        directory.set_readable(now);
        if is_whole {
            *changed = directory.read_all(now, entries);
            return;
        }
        for entry in entries {
            directory.put(entry, changed);
        }
        for id in gone {
            directory.remove(now, &id, changed);
        }
    });
}
