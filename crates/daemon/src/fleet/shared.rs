//! The shared state of one daemon.

use crate::service::{ServiceHandle, TargetClient, build_once_client};
use crate::store::Store;
use crate::telemetry::{Journal, Metrics, TraceBuffer};
use gentianridge_config::{Settings, parse_fleet};
use gentianridge_core::{
    AttemptKey, Clock, EventKind, FleetSpec, LoadReport, Membership, Quarantine, QuarantineChange,
    RevisionLog, RevisionRecord, RevisionUpdate, StopSchedule, TargetKey, TargetNotice,
    TargetNotices, VmName,
};
use gentianridge_platform::Platform;
use parking_lot::{Mutex, RwLock};
use rand::Rng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::time::{Duration, UNIX_EPOCH};
use tokio::sync::Notify;

/// The services of the revision in force.
#[derive(Debug)]
pub(crate) struct Routes {
    pub(crate) spec: FleetSpec,
    /// Services in the order of `spec.services`.
    pub(crate) services: Vec<Arc<ServiceHandle>>,
}

/// The revision in force and the wall time since which it is in force.
#[derive(Debug, Clone)]
pub(crate) struct CurrentRevision {
    pub(crate) record: RevisionRecord,
    pub(crate) since_ms: u64,
}

/// Everything that the tasks of one daemon share.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) me: VmName,
    pub(crate) settings: Settings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) journal: Arc<Journal>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) traces: TraceBuffer,
    pub(crate) store: Store,
    /// Client for once-only requests, which keeps no connection.
    pub(crate) once_client: TargetClient,
    pub(crate) membership: Mutex<Membership>,
    pub(crate) quarantine: Mutex<Quarantine>,
    pub(crate) notices: Mutex<TargetNotices>,
    /// Addresses from the settings and the platform's list, for first contact.
    pub(crate) bootstrap: Mutex<Vec<SocketAddr>>,
    /// Starts a gossip round early when an update should not wait.
    pub(crate) gossip_wakeup: Notify,
    /// Wakes the poller when the store may hold a newer revision.
    pub(crate) poller_wakeup: Notify,
    pub(crate) incarnation: u64,
    pub(crate) seq: AtomicU64,
    /// Claims that still have to be closed in the store.
    pub(crate) open_claims: AtomicUsize,
    routes: Arc<RwLock<Option<Arc<Routes>>>>,
    revisions: Mutex<RevisionState>,
    /// Schedule of the planned stop, after its signal.
    stop: Mutex<Option<StopSchedule>>,
}

#[derive(Debug, Default)]
struct RevisionState {
    log: RevisionLog,
    since_ms: u64,
}

impl Fleet {
    /// Quarantine period until a file declares another one.
    const DEFAULT_QUARANTINE: Duration = Duration::from_secs(600);

    pub(crate) fn new(
        settings: Settings,
        platform: Platform,
        clock: Arc<dyn Clock>,
    ) -> anyhow::Result<Arc<Self>> {
        let routes = Arc::new(RwLock::new(None));
        let journal = Arc::new(Journal::new(settings.vm.clone(), clock.clone()));
        let metrics = Arc::new(Metrics::new(&routes)?);
        let store = Store::new(platform, clock.clone(), journal.clone(), metrics.clone());
        let incarnation = wall_millis(&*clock);
        Ok(Arc::new(Self {
            me: settings.vm.clone(),
            membership: Mutex::new(Membership::new(settings.vm.clone())),
            quarantine: Mutex::new(Quarantine::new(Self::DEFAULT_QUARANTINE)),
            notices: Mutex::new(TargetNotices::new()),
            bootstrap: Mutex::new(settings.seeds.clone()),
            gossip_wakeup: Notify::new(),
            poller_wakeup: Notify::new(),
            incarnation,
            seq: AtomicU64::new(0),
            open_claims: AtomicUsize::new(0),
            revisions: Mutex::new(RevisionState::default()),
            stop: Mutex::new(None),
            traces: TraceBuffer::new(),
            settings,
            clock,
            journal,
            metrics,
            store,
            once_client: build_once_client(),
            routes,
        }))
    }
}

/// The revision in force.
impl Fleet {
    pub(crate) fn get_routes(&self) -> Option<Arc<Routes>> {
        self.routes.read().clone()
    }

    pub(crate) fn get_revision(&self) -> u64 {
        self.revisions.lock().log.get_number()
    }

    pub(crate) fn get_current_revision(&self) -> Option<CurrentRevision> {
        let revisions = self.revisions.lock();
        let record = revisions.log.get_current()?.clone();
        Some(CurrentRevision {
            record,
            since_ms: revisions.since_ms,
        })
    }

    /// Puts a revision in force if it is newer than the one in force.
    pub(crate) fn adopt(&self, record: RevisionRecord, source: &str) -> RevisionUpdate {
        let spec = match parse_fleet(&record.text) {
            Ok(spec) => spec,
            Err(report) => {
                log::error!(
                    "revision {} from {source} is faulty: {report}",
                    record.number
                );
                return RevisionUpdate::Conflicting;
            }
        };
        let event = EventKind::RevisionInForce {
            revision: record.number,
            author: record.author.clone(),
            source: source.into(),
        };
        // The lock is held over both steps, so that the routes of an older
        // revision never replace those of a newer one.
        let mut revisions = self.revisions.lock();
        let update = revisions.log.offer(record);
        if update == RevisionUpdate::Adopted {
            revisions.since_ms = wall_millis(&*self.clock);
            self.apply(spec);
            drop(revisions);
            self.journal.record(event);
            self.gossip_wakeup.notify_one();
        } else if update == RevisionUpdate::Conflicting {
            log::error!(
                "revision from {source} conflicts with another submission of the same number"
            );
        }
        update
    }

    fn apply(&self, spec: FleetSpec) {
        let old = self.get_routes();
        let services = spec
            .services
            .iter()
            .map(|service| self.apply_service(old.as_deref(), service, spec.max_vms))
            .collect();
        retire_services(old.as_deref(), &spec);
        self.apply_quarantine(&spec);
        *self.routes.write() = Some(Arc::new(Routes { spec, services }));
        self.update_live_vms();
        self.apply_notices();
    }

    fn apply_service(
        &self,
        old: Option<&Routes>,
        spec: &gentianridge_core::ServiceSpec,
        max_vms: u16,
    ) -> Arc<ServiceHandle> {
        let known = old.and_then(|routes| routes.services.iter().find(|s| s.name == spec.name));
        if let Some(handle) = known {
            handle.apply(spec.clone(), max_vms);
            return handle.clone();
        }
        let seed = rand::rng().next_u64();
        let handle = Arc::new(ServiceHandle::new(
            spec.clone(),
            max_vms,
            seed,
            self.clock.clone(),
            self.journal.clone(),
        ));
        if let Some(stop) = self.get_stop() {
            handle.stop(stop);
        }
        tokio::spawn(handle.clone().run_timer());
        handle
    }

    fn apply_quarantine(&self, spec: &FleetSpec) {
        let mut quarantine = self.quarantine.lock();
        quarantine.set_period(spec.quarantine);
        let lifted: Vec<QuarantineChange> = spec
            .release
            .iter()
            .filter_map(|&fingerprint| quarantine.release(fingerprint))
            .collect();
        drop(quarantine);
        self.record_quarantine_changes(lifted);
    }
}

/// The state of the fleet.
impl Fleet {
    pub(crate) fn is_stopping(&self) -> bool {
        self.get_stop().is_some()
    }

    /// Returns the schedule of the planned stop, `None` before its signal.
    pub(crate) fn get_stop(&self) -> Option<StopSchedule> {
        *self.stop.lock()
    }

    /// Marks this VM as not ready, and limits its calls to the time that is left.
    pub(crate) fn start_stopping(&self) {
        let settings = &self.settings;
        let time_left = settings.stop_notice + settings.stop_grace;
        let stop = StopSchedule::new(self.clock.now(), time_left);
        *self.stop.lock() = Some(stop);
        if let Some(routes) = self.get_routes() {
            for service in &routes.services {
                service.stop(stop);
            }
        }
        self.journal.record(EventKind::VmStopping);
        self.gossip_wakeup.notify_one();
    }

    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.get_revision() > 0
    }

    pub(crate) fn get_live(&self) -> Vec<VmName> {
        self.membership.lock().get_live(self.clock.now())
    }

    /// Updates each service with the number of live VMs and the rank of this VM.
    pub(crate) fn update_live_vms(&self) {
        let live = self.get_live();
        let rank = live.binary_search(&self.me).unwrap_or(0);
        let Some(routes) = self.get_routes() else {
            return;
        };
        for service in &routes.services {
            service.set_fleet(live.len() as u16, rank as u16);
        }
    }

    /// Applies a target's leaving notice, received directly or through a peer.
    pub(crate) fn apply_notice(&self, notice: &TargetNotice) {
        let is_new = self.notices.lock().merge(notice.clone());
        if !is_new {
            return;
        }
        self.gossip_wakeup.notify_one();
        if let Some(service) = self.find_service(&notice.service) {
            service.set_leaving(&notice.target, notice.is_leaving);
        }
    }

    /// Records a load report, and notifies the fleet if the target reports a
    /// change of its leaving state.
    pub(crate) fn record_load_report(
        &self,
        service: &ServiceHandle,
        target: TargetKey,
        attempt: Option<AttemptKey>,
        report: LoadReport,
    ) {
        let changed = service.read(|machine, _| {
            let is_change = machine.is_leaving(target) != report.is_leaving;
            let name = machine.get_target(target).map(|t| t.name.clone());
            name.filter(|_| is_change)
        });
        if let Some(name) = changed {
            self.apply_notice(&TargetNotice {
                service: service.name.clone(),
                target: name,
                is_leaving: report.is_leaving,
                at: self.journal.tick(),
            });
        }
        service.report(target, attempt, report);
    }

    /// Applies known leaving notices to the services of a new revision.
    fn apply_notices(&self) {
        let notices = self.notices.lock().get_newest(usize::MAX);
        for notice in notices.iter().filter(|notice| notice.is_leaving) {
            if let Some(service) = self.find_service(&notice.service) {
                service.set_leaving(&notice.target, true);
            }
        }
    }

    fn find_service(&self, name: &str) -> Option<Arc<ServiceHandle>> {
        let routes = self.get_routes()?;
        routes.services.iter().find(|s| s.name == name).cloned()
    }

    pub(crate) fn record_crash(&self, fingerprint: u64) {
        let now = self.clock.now();
        let change = self
            .quarantine
            .lock()
            .record_crash(now, &self.me, fingerprint);
        self.gossip_wakeup.notify_one();
        self.record_quarantine_changes(change);
    }

    pub(crate) fn record_quarantine_changes(
        &self,
        changes: impl IntoIterator<Item = QuarantineChange>,
    ) {
        for change in changes {
            let kind = match change {
                QuarantineChange::Quarantined(fingerprint) => {
                    EventKind::Quarantined { fingerprint }
                }
                QuarantineChange::Lifted(fingerprint) => {
                    EventKind::QuarantineLifted { fingerprint }
                }
            };
            self.journal.record(kind);
        }
    }
}

fn retire_services(old: Option<&Routes>, spec: &FleetSpec) {
    let is_gone = |name: &str| spec.services.iter().all(|service| service.name != name);
    for service in old.into_iter().flat_map(|routes| &routes.services) {
        if is_gone(&service.name) {
            service.retire();
        }
    }
}

/// Returns the wall time in milliseconds since the Unix epoch.
pub(crate) fn wall_millis(clock: &dyn Clock) -> u64 {
    clock
        .wall()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
