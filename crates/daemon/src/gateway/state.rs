//! What a daemon on the platform knows and believes.

use super::links::{Link, Links};
use super::metrics::GatewayMetrics;
use super::peers::Peers;
use super::samples::run_samples;
use crate::service::ServiceHandle;
use crate::telemetry::{Journal, LineCounts};
use gentianridge_adapter::{ExchangeHeaders, Store, exchange_headers};
use gentianridge_config::GatewaySettings;
use gentianridge_core::{
    CallerLimits, ClassKey, ClassKind, ClassSpec, Clock, Directory, EventKind, Incarnation,
    MethodSet, Refresh, ResultCode, RouteMatch, RouteTable, RoutedService, Sampling, ServiceSpec,
    TargetSpec,
};
use http::{Request, header};
use rand::RngExt;
use smol_str::{SmolStr, ToSmolStr};
use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Where the process stands in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Running,
    /// SIGTERM came: not ready, and connections end with their next answer.
    Stopping,
}

/// Where a request goes.
#[derive(Debug)]
pub(crate) struct Routed {
    pub(crate) route: SmolStr,
    /// Configuration by which the request was routed.
    pub(crate) version: u64,
    pub(crate) service: Arc<ServiceHandle>,
    pub(crate) class: ClassKey,
    pub(crate) kind: ClassKind,
    pub(crate) timeout: Duration,
    pub(crate) objective: Duration,
}

/// A service with the classes that requests under way may still be in.
#[derive(Debug)]
struct Entry {
    handle: Arc<ServiceHandle>,
    declared: Option<RoutedService>,
    classes: Vec<(ClassSpec, Instant)>,
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
    routes: RefCell<Option<RouteTable>>,
    directory: RefCell<Directory>,
    refresh: RefCell<Refresh>,
    services: RefCell<Vec<Entry>>,
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
            directory: RefCell::new(Directory::new()),
            refresh: RefCell::new(Refresh::new(get_list_bound(&settings))),
            services: RefCell::new(Vec::new()),
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
        if old.store != settings.store {
            match Store::new(settings.store, Self::STORE_TIMEOUT) {
                Ok(store) => *self.store.borrow_mut() = store,
                Err(error) => log::error!("cannot use the store at {}: {error}", settings.store),
            }
        }
        let bound = get_list_bound(&settings);
        self.refresh.borrow_mut().set_bound(bound);
        *self.settings.borrow_mut() = settings;
        self.apply_all();
    }

    pub(crate) fn get_phase(&self) -> Phase {
        self.phase.get()
    }

    pub(crate) fn stop(&self) {
        self.phase.set(Phase::Stopping);
        self.journal.record(EventKind::VmStopping);
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
        self.routes.borrow().is_some() && self.refresh.borrow().get_version().is_some()
    }

    /// Notes that routes or targets were read.
    pub(crate) fn note_informed(&self) {
        self.informed.notify_waiters();
    }

    /// Returns true if the balancer may send connections here.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Running
            && self.routes.borrow().is_some()
            && !self.directory.borrow().is_empty()
    }
}

/// Routes in force.
impl Gateway {
    /// Time for which a class is kept after the last configuration that needs
    /// it, since requests of it may be under way; longer than any timeout.
    const KEEP_CLASS: Duration = Duration::from_secs(60);
    /// Steps by which VMs may start apart in the rotation of a split.
    const ROTATION: u32 = 97;

    /// Returns the version in force, 0 if there is none.
    pub(crate) fn get_version(&self) -> u64 {
        self.routes
            .borrow()
            .as_ref()
            .map_or(0, RouteTable::get_version)
    }

    pub(crate) fn get_limits(&self) -> CallerLimits {
        self.routes
            .borrow()
            .as_ref()
            .map(RouteTable::get_limits)
            .unwrap_or_default()
    }

    /// Finds the service, class and treatment of a request.
    pub(crate) fn route<B>(&self, request: &Request<B>) -> Result<Routed, ResultCode> {
        let mut routes = self.routes.borrow_mut();
        let table = routes.as_mut().ok_or(ResultCode::NoConfiguration)?;
        let host = request
            .headers()
            .get(header::HOST)
            .and_then(|value| value.to_str().ok())
            .or_else(|| request.uri().host())
            .ok_or(ResultCode::BadRequest)?;
        let key = table
            .find(host, request.uri().path())
            .ok_or(ResultCode::NoService)?;
        let name = table.next_service(key).ok_or(ResultCode::NoTarget)?;
        let route = table.get(key);
        let service = self.find_service(&name).ok_or(ResultCode::NoTarget)?;
        let class_name = route.make_class().name;
        let class = service
            .read(|machine, _| machine.find_class_named(&class_name))
            .ok_or(ResultCode::NoTarget)?;
        Ok(Routed {
            route: route.name.clone(),
            version: table.get_version(),
            service,
            class,
            kind: route.kind,
            timeout: route.timeout,
            objective: route.objective,
        })
    }

    /// Puts a configuration in force if it is newer than the one that is;
    /// returns false if it is not.
    pub(crate) fn apply_routes(self: &Rc<Self>, mut table: RouteTable, source: &str) -> bool {
        if self.routes.borrow().is_some() && table.get_version() <= self.get_version() {
            return false;
        }
        let now = self.clock.now();
        table.rotate_splits(rand::rng().random_range(0..Self::ROTATION));
        self.journal.record(EventKind::RevisionInForce {
            revision: table.get_version(),
            author: "operator".into(),
            source: source.into(),
        });
        for declared in table.get_services() {
            let classes = table.collect_classes(&declared.name);
            self.declare(now, declared.clone(), classes);
        }
        *self.routes.borrow_mut() = Some(table);
        self.apply_all();
        self.note_informed();
        true
    }

    fn declare(self: &Rc<Self>, now: Instant, declared: RoutedService, classes: Vec<ClassSpec>) {
        let mut services = self.services.borrow_mut();
        let index = match find(&services, &declared.name) {
            Ok(index) => index,
            Err(index) => {
                services.insert(index, self.make_entry(&declared.name));
                index
            }
        };
        let entry = &mut services[index];
        entry.declared = Some(declared);
        for class in classes {
            entry.classes.retain(|(known, _)| known.name != class.name);
            entry.classes.push((class, now));
        }
        entry
            .classes
            .retain(|(_, named)| now.saturating_duration_since(*named) < Self::KEEP_CLASS);
        entry.classes.sort_by(|(a, _), (b, _)| a.name.cmp(&b.name));
    }

    fn make_entry(self: &Rc<Self>, name: &SmolStr) -> Entry {
        let handle = Arc::new(ServiceHandle::new(
            self.make_spec(name, Vec::new(), Vec::new()),
            1,
            rand::rng().random(),
            self.clock.clone(),
            self.journal.clone(),
        ));
        handle.set_domain(self.get_settings().domain.clone());
        tokio::task::spawn_local(handle.clone().run_timer());
        tokio::task::spawn_local(run_samples(self.clone(), handle.clone()));
        Entry {
            handle,
            declared: None,
            classes: Vec::new(),
        }
    }

    fn make_spec(
        &self,
        name: &SmolStr,
        classes: Vec<ClassSpec>,
        targets: Vec<TargetSpec>,
    ) -> ServiceSpec {
        let settings = self.get_settings();
        let percent = settings.repeats.percent.min(100) as u8;
        let probes_per_second = settings
            .probes_per_target
            .saturating_mul(targets.len() as u16);
        let sampling = find_sampling(&classes);
        ServiceSpec {
            name: name.clone(),
            route: RouteMatch {
                methods: MethodSet::default(),
                prefix: "/".into(),
            },
            classes,
            targets,
            retry_percent: percent,
            hedge_percent: percent,
            silence: Duration::ZERO,
            probes_per_second,
            probe_path: SmolStr::default(),
            note: None,
            repeats: Some(settings.repeats),
            sampling,
        }
    }
}

/// Targets.
impl Gateway {
    pub(crate) fn find_service(&self, name: &str) -> Option<Arc<ServiceHandle>> {
        let services = self.services.borrow();
        let index = find(&services, name).ok()?;
        Some(services[index].handle.clone())
    }

    /// Returns the path of the health check of a service's targets.
    pub(crate) fn get_health_path(&self, service: &str) -> Option<SmolStr> {
        let services = self.services.borrow();
        let index = find(&services, service).ok()?;
        let declared = services[index].declared.as_ref()?;
        Some(declared.health_path.clone())
    }

    /// Calls `act` with each service.
    pub(crate) fn for_each_service(&self, mut act: impl FnMut(&Arc<ServiceHandle>)) {
        for entry in self.services.borrow().iter() {
            act(&entry.handle);
        }
    }

    /// Changes the directory and lets the services that it touches follow.
    pub(crate) fn change_targets(&self, change: impl FnOnce(&mut Directory, &mut Vec<SmolStr>)) {
        let mut changed = Vec::new();
        change(&mut self.directory.borrow_mut(), &mut changed);
        changed.sort();
        changed.dedup();
        for name in changed {
            self.apply_service(&name);
        }
    }

    /// Uses the timer of the list of targets.
    pub(crate) fn with_refresh<T>(&self, act: impl FnOnce(&mut Refresh) -> T) -> T {
        act(&mut self.refresh.borrow_mut())
    }

    /// Returns when a lapsed target is due to be dropped.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.directory.borrow().next_expiry()
    }

    /// Forgets a target at whose address another one answered.
    pub(crate) fn forget_replaced(&self, incarnation: &Incarnation) {
        self.links.close(incarnation);
        self.change_targets(|directory, changed| directory.set_replaced(incarnation, changed));
    }

    /// Keeps a connection as soon as it can take another request.
    pub(crate) fn keep_link(self: &Rc<Self>, target: Incarnation, mut link: Link) {
        let gateway = self.clone();
        tokio::task::spawn_local(async move {
            if link.wait_ready().await {
                gateway.links.keep(&target, link);
            }
        });
    }

    fn apply_all(&self) {
        let names: Vec<SmolStr> = self
            .services
            .borrow()
            .iter()
            .map(|entry| entry.handle.name.to_smolstr())
            .collect();
        for name in names {
            self.apply_service(&name);
        }
    }

    fn apply_service(&self, name: &str) {
        let services = self.services.borrow();
        let Ok(index) = find(&services, name) else {
            return;
        };
        let entry = &services[index];
        let connections = entry
            .declared
            .as_ref()
            .map_or(u16::MAX, |declared| declared.max_connections);
        let targets = self.directory.borrow().get_targets(name, connections);
        let classes = entry
            .classes
            .iter()
            .map(|(class, _)| class.clone())
            .collect();
        let spec = self.make_spec(&entry.handle.name, classes, targets);
        entry.handle.apply(spec, 1);
    }
}

/// Returns the bound on the age of what is read from the store.
fn get_list_bound(settings: &GatewaySettings) -> Duration {
    settings.drain.min(settings.apply)
}

/// Targets are asked within a small part of the shortest objective.
fn find_sampling(classes: &[ClassSpec]) -> Option<Sampling> {
    let shortest = classes.iter().map(ClassSpec::get_objective).min()?;
    Some(Sampling {
        fanout: 3,
        fresh: Duration::from_millis(60),
        wait: shortest / 20,
    })
}

fn find(services: &[Entry], name: &str) -> Result<usize, usize> {
    services.binary_search_by(|entry| entry.handle.name.as_str().cmp(name))
}
