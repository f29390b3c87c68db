//! What a daemon on the platform knows and believes.

use super::crashes::CRASH_PERIOD;
use super::links::Links;
use super::metrics::GatewayMetrics;
use super::peers::Peers;
use super::services::Entry;
use crate::telemetry::{Journal, LineCounts};
use gentianridge_adapter::{ExchangeHeaders, Store, exchange_headers};
use gentianridge_config::GatewaySettings;
use gentianridge_core::{Clock, EventKind, Quarantine, RouteTable, TargetList};
use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Where the process stands in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Running,
    /// SIGTERM came: not ready, and connections end with their next answer.
    Stopping,
}

/// State of one daemon on the platform.
#[derive(Debug)]
pub(crate) struct Gateway {
    settings: RefCell<GatewaySettings>,
    store: RefCell<Store>,
    pub(crate) headers: ExchangeHeaders,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) journal: Arc<Journal>,
    pub(crate) links: Links,
    pub(crate) peers: Peers,
    pub(crate) metrics: GatewayMetrics,
    pub(super) routes: RefCell<Option<RouteTable>>,
    pub(super) list: RefCell<TargetList>,
    pub(super) services: RefCell<Vec<Entry>>,
    pub(super) quarantine: RefCell<Quarantine>,
    phase: Cell<Phase>,
    informed: Notify,
}

/// Construction and phase.
impl Gateway {
    /// Longest wait for the first answers of the store: a few calls, one of them
    /// on a second connection.
    const START_WAIT: Duration = Duration::from_millis(300);
    /// Longest time for one call to the store; a slow store takes a fraction
    /// of a second, and one that takes longer is as good as away.
    const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

    /// Creates the state of a daemon that knows nothing yet; `lines` are the
    /// counts of the log, if this process writes one.
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
            headers: exchange_headers(),
            clock,
            journal,
            links: Links::default(),
            peers: Peers::new(settings.vm.clone()),
            metrics: GatewayMetrics::new(lines)?,
            routes: RefCell::new(None),
            list: RefCell::new(TargetList::new(get_list_bound(&settings))),
            services: RefCell::new(Vec::new()),
            quarantine: RefCell::new(Quarantine::new(CRASH_PERIOD)),
            phase: Cell::new(Phase::Running),
            informed: Notify::new(),
            settings: RefCell::new(settings),
        }))
    }

    pub(crate) fn get_settings(&self) -> Ref<'_, GatewaySettings> {
        self.settings.borrow()
    }

    /// Returns a client of the store.
    pub(crate) fn get_store(&self) -> Store {
        self.store.borrow().clone()
    }

    /// Takes in changed settings. Addresses to listen on hold from the start of
    /// the process to its end.
    pub(crate) fn change_settings(&self, settings: GatewaySettings) {
        let old = self.get_settings().clone();
        if old == settings {
            return;
        }
        log::info!("settings changed");
        if old.get_listen_addrs() != settings.get_listen_addrs() {
            log::warn!("addresses to listen on change at the next start only");
        }
        if old.store != settings.store {
            match Store::new(settings.store, Self::STORE_TIMEOUT) {
                Ok(store) => *self.store.borrow_mut() = store,
                Err(error) => log::error!("cannot use the store at {}: {error}", settings.store),
            }
        }
        let bound = get_list_bound(&settings);
        self.list.borrow_mut().set_bound(bound);
        *self.settings.borrow_mut() = settings;
        self.apply_all();
    }

    pub(crate) fn get_phase(&self) -> Phase {
        self.phase.get()
    }

    pub(crate) fn stop(&self) {
        self.phase.set(Phase::Stopping);
        self.journal.record(EventKind::VmStopping);
        self.peers.note_urgent();
    }

    /// Waits until routes and targets are known, as after a start, but not for
    /// longer than it usually takes.
    ///
    /// After the loss of a whole fleet callers come before the store has
    /// answered; a refusal would send them away for longer than that takes.
    pub(crate) async fn wait_informed(&self) {
        let end = self.clock.now() + Self::START_WAIT;
        while !self.is_informed() {
            let informed = tokio::time::timeout_at(end.into(), self.informed.notified());
            if informed.await.is_err() {
                return;
            }
        }
    }

    fn is_informed(&self) -> bool {
        self.routes.borrow().is_some() && self.list.borrow().get_version().is_some()
    }

    /// Notes that routes or targets were read.
    pub(crate) fn note_informed(&self) {
        self.informed.notify_waiters();
    }

    /// Returns true if the balancer may send connections here.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Running
            && self.routes.borrow().is_some()
            && !self.list.borrow().is_empty()
    }
}

/// Returns the bound on the age of what is read from the store.
fn get_list_bound(settings: &GatewaySettings) -> Duration {
    settings.drain.min(settings.apply)
}
