//! Following the platform's store: the configuration and the targets.

use super::state::Gateway;
use crate::telemetry::STATE_LOG_TARGET;
use gentianridge_adapter::{
    Changes, Row, StoreError, StoreErrorKind, Table, decode_entry, decode_routes,
};
use gentianridge_core::{EventKind, ListNews, Reading, Relayed};
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;

/// Key of the configuration among what operators wrote.
const CONFIG_KEY: &str = "config";
/// Shortest and longest pause after a failed call. Jitter keeps VMs from
/// asking together when the store returns.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(1_000);

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

/// Why a VM turns to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reason {
    /// Its timer ended: it reads for the fleet.
    Due,
    /// It missed changes of the list that a peer read.
    MissedChanges,
    /// A peer has a newer configuration in force.
    NewerConfig,
}

/// Keeps the configuration and the list of targets, by own readings and by
/// those that peers tell.
///
/// A long poll would hear of a configuration sooner, but a store that turns
/// this VM away by silence cannot be told from one with nothing to say.
pub(crate) async fn follow_store(gateway: Rc<Gateway>) {
    let mut follower = Follower {
        gateway,
        is_down: false,
        config_after: None,
        backoff: Backoff::new(),
    };
    loop {
        let reason = wait_for_reason(&follower.gateway).await;
        let is_good = match reason {
            Reason::Due => follower.read_all().await,
            Reason::MissedChanges => follower.read_missed().await,
            Reason::NewerConfig => follower.read_config(None).await,
        };
        follower.note(is_good);
        // A version that the store does not have is no reason to ask it on and on.
        let is_behind = is_behind(&follower.gateway);
        if is_good && !is_behind {
            follower.backoff.reset();
        }
        if is_good && !(is_behind && reason == Reason::NewerConfig) {
            continue;
        }
        let gateway = follower.gateway.clone();
        let due = gateway.get_list_due().unwrap_or(gateway.clock.now());
        tokio::select! {
            () = follower.backoff.pause() => {}
            () = tokio::time::sleep_until(due.into()), if is_good => {}
            // A peer that reads the store makes its state known to all.
            () = gateway.peers.wait_list() => follower.backoff.reset(),
        }
    }
}

/// Returns true if a newer configuration than the one in force was heard of.
fn is_behind(gateway: &Gateway) -> bool {
    gateway.peers.get_newest_version() > gateway.get_version()
}

/// Waits until this VM has to turn to the store and drops lapsed targets that
/// are due meanwhile.
async fn wait_for_reason(gateway: &Gateway) -> Reason {
    loop {
        // The list first: a version that the store does not have must not keep
        // this VM from reading it.
        let now = gateway.clock.now();
        if gateway.list.borrow().has_gap() {
            return Reason::MissedChanges;
        }
        let Some(due) = gateway.get_list_due().filter(|due| *due > now) else {
            return Reason::Due;
        };
        if is_behind(gateway) {
            return Reason::NewerConfig;
        }
        let expiry = gateway.list.borrow().next_expiry().filter(|at| *at < due);
        tokio::select! {
            () = tokio::time::sleep_until(expiry.unwrap_or(due).into()) => {
                let now = gateway.clock.now();
                gateway.change_targets(|list, changed| list.expire(now, changed));
            }
            () = gateway.peers.wait_list() => {}
            () = gateway.peers.wait_newer_version() => {}
        }
    }
}

/// The state of following the store.
struct Follower {
    gateway: Rc<Gateway>,
    is_down: bool,
    /// Version of the store up to which the configuration is known.
    config_after: Option<u64>,
    backoff: Backoff,
}

impl Follower {
    /// Reads what has changed of the configuration and of the targets; returns
    /// false if either cannot be read.
    async fn read_all(&mut self) -> bool {
        let gateway = self.gateway.clone();
        let (config, targets) =
            tokio::join!(self.read_config(self.config_after), read_targets(&gateway));
        let is_good = config && targets.is_ok();
        if let Ok(Some(news)) = targets
            && config
        {
            let news = ListNews {
                revision: gateway.get_version(),
                ..news
            };
            gateway.peers.tell_list(gateway.clock.now(), news);
        }
        self.note_targets(is_good)
    }

    /// Reads changes of the targets that the peers know already.
    async fn read_missed(&mut self) -> bool {
        let targets = read_targets(&self.gateway).await;
        self.note_targets(targets.is_ok())
    }

    fn note_targets(&self, is_good: bool) -> bool {
        if !is_good {
            self.gateway.list.borrow_mut().note_failure();
        }
        is_good
    }

    async fn read_config(&mut self, after: Option<u64>) -> bool {
        let store = self.gateway.get_store();
        let changed = match after {
            None => None,
            Some(after) => {
                let fed = store.feed(Table::Operators, after, Duration::ZERO).await;
                unless_history_gone(fed)
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
                    take_config(&self.gateway, row);
                }
                true
            }
            Err(error) => {
                log::debug!("cannot read the configuration: {error}");
                false
            }
        }
    }

    fn note(&mut self, is_good: bool) {
        if std::mem::replace(&mut self.is_down, !is_good) == is_good {
            self.gateway.journal.record(if is_good {
                EventKind::StoreUp
            } else {
                EventKind::StoreDown
            });
        }
    }
}

/// Returns the result of a feed, none if the table has to be read whole: the
/// store may drop its history at any time, which is no outage.
fn unless_history_gone(fed: Result<Changes, StoreError>) -> Option<Result<Changes, StoreError>> {
    let is_gone = |error: &StoreError| error.get_kind() == StoreErrorKind::HistoryGone;
    if fed.as_ref().is_err_and(is_gone) {
        log::info!(target: STATE_LOG_TARGET, "the store dropped its history; a table is read whole");
        return None;
    }
    Some(fed)
}

/// Reads the targets; returns what is news to the peers.
async fn read_targets(gateway: &Gateway) -> Result<Option<ListNews>, StoreError> {
    let after = gateway.list.borrow().get_version();
    let store = gateway.get_store();
    let changed = match after {
        None => None,
        Some(after) => {
            let fed = store.feed(Table::Targets, after, Duration::ZERO).await;
            unless_history_gone(fed)
        }
    };
    let is_whole = changed.is_none();
    let result = match changed {
        Some(result) => result,
        None => store.get_all(Table::Targets).await,
    };
    gateway.metrics.record_store_call("targets", result.is_ok());
    let changes = result.inspect_err(|error| log::debug!("cannot read the targets: {error}"))?;
    Ok(take_targets(gateway, changes, is_whole))
}

/// Takes in a reading of this VM; returns what peers are to be told.
fn take_targets(gateway: &Gateway, changes: Changes, is_whole: bool) -> Option<ListNews> {
    let now = gateway.clock.now();
    let draw = rand::rng().random();
    let reading = decode_reading(changes, is_whole);
    let taken =
        gateway.change_targets(|list, changed| list.take_reading(now, reading, draw, changed))?;
    log_news(&taken.news, "store");
    gateway.note_informed();
    taken.is_to_tell.then_some(taken.news)
}

fn decode_reading(changes: Changes, is_whole: bool) -> Reading {
    let mut reading = Reading {
        version: changes.version,
        is_whole,
        ..Reading::default()
    };
    for row in changes.rows {
        let Some(value) = &row.value else {
            reading.gone.push(row.key);
            continue;
        };
        match decode_entry(&row.key, value) {
            Ok(entry) => reading.entries.push(entry),
            // An entry of another writer names no target; one that it replaced
            // says nothing any more either, but its target may well live.
            Err(error) => log::warn!("entry {} cannot be read: {error}", row.key),
        }
    }
    reading
}

/// Takes in a reading that a peer tells, and tells it on.
pub(crate) fn take_list_news(gateway: &Gateway, news: ListNews) {
    let now = gateway.clock.now();
    let draw = rand::rng().random();
    match gateway.change_targets(|list, changed| list.take_news(now, &news, draw, changed)) {
        Relayed::Stale => return,
        Relayed::Applied => log_news(&news, "peer"),
        Relayed::Known | Relayed::Gap => {}
    }
    gateway.peers.hear_version(news.revision);
    gateway.peers.tell_list(now, news);
    gateway.peers.note_list();
}

/// Writes a line for each target about which the VM believes something new.
fn log_news(news: &ListNews, source: &str) {
    for entry in &news.entries {
        log::info!(
            target: STATE_LOG_TARGET,
            target = entry.incarnation.id.as_str(),
            service = entry.service.as_str(),
            addr = entry.addr.to_string().as_str(),
            born_ms = entry.incarnation.born_ms,
            is_draining = entry.is_draining,
            source = source,
            store_version = news.version;
            "target listed"
        );
    }
    for id in &news.gone {
        log::info!(
            target: STATE_LOG_TARGET,
            target = id.as_str(),
            source = source,
            store_version = news.version,
            settle_left_ms = news.settle_left.as_millis() as u64;
            "target no longer listed"
        );
    }
}
