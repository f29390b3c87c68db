//! Local state of a daemon on the platform.

use super::admission::WorkspaceLimits;
use super::cold::ColdOwners;
use super::connections::ConnectionPool;
use super::crashes::CRASH_PERIOD;
use super::list_reader::ListReader;
use super::memory::MemoryKeeper;
use super::metrics::GatewayMetrics;
use super::peers::Peers;
use super::services::ServiceEntry;
use crate::telemetry::{Journal, LineCounts};
use bytes::Bytes;
use gentianridge_adapter::{HeaderNames, Store, get_header_names};
use gentianridge_config::GatewaySettings;
use gentianridge_core::{
    Clock, Proofs, Quarantine, RouteTable, StopSchedule, StoreEra, TargetList, UpdateLog,
};
use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// State of one daemon on the platform.
#[derive(Debug)]
pub(crate) struct Gateway {
    settings: RefCell<GatewaySettings>,
    store: RefCell<Store>,
    pub(crate) headers: HeaderNames,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) journal: Arc<Journal>,
    pub(crate) connections: ConnectionPool,
    pub(crate) peers: Peers,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) memory: Rc<MemoryKeeper>,
    pub(super) routes: RefCell<Option<RouteTable>>,
    /// Newest era of the store.
    pub(super) era: RefCell<StoreEra>,
    /// How recently the configuration in force was the newest one.
    pub(super) proofs: RefCell<Proofs>,
    /// True if keys were accepted at the last look.
    pub(super) was_serving_keys: Cell<bool>,
    pub(super) list: RefCell<TargetList>,
    pub(super) list_reader: ListReader,
    pub(super) cold_owners: ColdOwners,
    pub(super) update_log: RefCell<UpdateLog>,
    /// The configuration in force as the store holds it, for peers that lack it.
    config_value: RefCell<Option<Bytes>>,
    pub(super) services: RefCell<Vec<ServiceEntry>>,
    pub(super) limits: WorkspaceLimits,
    pub(super) quarantine: RefCell<Quarantine>,
    /// Schedule of the planned stop, after its signal.
    stop: Cell<Option<StopSchedule>>,
    /// Cancelled when every request must have its answer because this VM stops.
    answers_due: CancellationToken,
    loaded: Notify,
}

/// Construction and phase.
impl Gateway {
    /// Longest wait for the first answers of the store: time for a few calls,
    /// one of them on a second connection.
    const START_WAIT: Duration = Duration::from_millis(300);
    /// Timeout of a call to the store. A slow store takes a fraction of a
    /// second, and one that takes longer than this is treated as down.
    const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

    /// Creates the initial state of a daemon, without routes and targets.
    /// `lines` are the counts of the log, if this process writes one.
    ///
    /// # Errors
    ///
    /// Fails if the client of the store cannot be built.
    pub(crate) fn new(
        settings: GatewaySettings,
        clock: Arc<dyn Clock>,
        lines: Option<Arc<LineCounts>>,
    ) -> anyhow::Result<Rc<Self>> {
        let store = Store::new(settings.store, Self::STORE_TIMEOUT)?;
        let journal = Arc::new(Journal::new(settings.vm.clone(), clock.clone()));
        Ok(Rc::new(Self {
            store: RefCell::new(store),
            headers: get_header_names(),
            limits: WorkspaceLimits::new(clock.since_boot(), &settings),
            memory: MemoryKeeper::new(&settings, clock.clone()),
            journal,
            connections: ConnectionPool::default(),
            peers: Peers::new(settings.vm.clone(), settings.domain.clone()),
            metrics: GatewayMetrics::new(lines)?,
            routes: RefCell::new(None),
            era: RefCell::default(),
            proofs: RefCell::default(),
            was_serving_keys: Cell::new(true),
            list: RefCell::new(TargetList::new(get_list_bound(&settings))),
            list_reader: ListReader::default(),
            cold_owners: ColdOwners::new(clock.now()),
            update_log: RefCell::default(),
            config_value: RefCell::new(None),
            services: RefCell::new(Vec::new()),
            quarantine: RefCell::new(Quarantine::new(CRASH_PERIOD)),
            stop: Cell::new(None),
            answers_due: CancellationToken::new(),
            loaded: Notify::new(),
            settings: RefCell::new(settings),
            clock,
        }))
    }

    pub(crate) fn get_settings(&self) -> Ref<'_, GatewaySettings> {
        self.settings.borrow()
    }

    /// Returns a client of the store.
    pub(crate) fn get_store(&self) -> Store {
        self.store.borrow().clone()
    }

    /// Applies changed settings, except listen addresses, which stay until the
    /// process is restarted.
    pub(crate) fn apply_settings(&self, settings: GatewaySettings) {
        let old = self.get_settings().clone();
        if old == settings {
            return;
        }
        log::info!("settings changed");
        if old.get_listen_addrs() != settings.get_listen_addrs() {
            log::warn!("changed listen addresses take effect after a restart only");
        }
        if old.store != settings.store {
            match Store::new(settings.store, Self::STORE_TIMEOUT) {
                Ok(store) => *self.store.borrow_mut() = store,
                Err(error) => log::error!("cannot use the store at {}: {error}", settings.store),
            }
        }
        let bound = get_list_bound(&settings);
        self.list.borrow_mut().set_bound(bound);
        self.limits.update_quietly(|limits| {
            limits.set_bound(settings.limit_window, settings.limit_bound);
        });
        self.memory.apply_settings(&settings);
        *self.settings.borrow_mut() = settings;
        self.apply_all();
    }

    /// Returns the schedule of the planned stop, `None` before its signal.
    pub(crate) fn get_stop(&self) -> Option<StopSchedule> {
        self.stop.get()
    }

    pub(super) fn set_stop(&self, stop: StopSchedule) {
        self.stop.set(Some(stop));
    }

    /// Ends the time for answers: requests under way are ended, later ones are refused.
    pub(super) fn end_answers(&self) {
        self.answers_due.cancel();
    }

    /// Waits until every request must have its answer because this VM stops.
    pub(crate) async fn wait_answers_due(&self) {
        self.answers_due.cancelled().await;
    }

    /// Waits until routes and targets have been read after a start, for at most
    /// `START_WAIT`, the time that this usually takes.
    ///
    /// After the loss of all VMs, requests arrive before the store has answered;
    /// a refused caller would wait for longer than that before it retries.
    pub(crate) async fn wait_loaded(&self) {
        let end = self.clock.now() + Self::START_WAIT;
        while !self.is_loaded() {
            let loaded = tokio::time::timeout_at(end.into(), self.loaded.notified());
            if loaded.await.is_err() {
                return;
            }
        }
    }

    /// Waits until a configuration or a list was applied.
    pub(super) async fn wait_loaded_once(&self) {
        self.loaded.notified().await;
    }

    /// Returns the configuration in force as the store holds it.
    pub(super) fn get_config_value(&self) -> Option<Bytes> {
        self.config_value.borrow().clone()
    }

    pub(super) fn set_config_value(&self, value: &[u8]) {
        *self.config_value.borrow_mut() = Some(Bytes::copy_from_slice(value));
    }

    /// Returns true if this VM has a configuration and a list.
    pub(super) fn is_loaded(&self) -> bool {
        self.routes.borrow().is_some() && self.list.borrow().get_version().is_some()
    }

    /// Wakes requests that wait for routes or targets.
    pub(crate) fn notify_loaded(&self) {
        self.loaded.notify_waiters();
    }

    /// Returns true if the balancer may send connections here.
    pub(crate) fn is_ready(&self) -> bool {
        self.get_stop().is_none()
            && self.routes.borrow().is_some()
            && !self.list.borrow().is_empty()
            && self.is_serving_keys()
    }
}

/// Returns the maximum age of the list of targets.
pub(super) fn get_list_bound(settings: &GatewaySettings) -> Duration {
    settings.drain.min(settings.apply)
}
