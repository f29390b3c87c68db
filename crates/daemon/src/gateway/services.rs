//! Services that routes name, with their classes and targets.

use super::samples::run_samples;
use super::state::Gateway;
use crate::service::ServiceHandle;
use crate::supervise::supervise;
use gentianridge_core::{
    ClassSpec, MethodSet, RouteMatch, RoutedService, Sampling, ServiceSpec, TargetSpec,
};
use rand::RngExt;
use smol_str::{SmolStr, ToSmolStr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A service with the classes that requests under way may still be in.
#[derive(Debug)]
pub(super) struct ServiceEntry {
    handle: Arc<ServiceHandle>,
    declared: Option<RoutedService>,
    classes: Vec<(ClassSpec, Instant)>,
}

/// Finding services.
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

    /// Calls `visit` with each service.
    pub(crate) fn for_each_service(&self, mut visit: impl FnMut(&Arc<ServiceHandle>)) {
        for entry in self.services.borrow().iter() {
            visit(&entry.handle);
        }
    }
}

/// Changing services.
impl Gateway {
    /// Time for which a class is kept after the last configuration that declares
    /// it, since requests of it may be under way; longer than any timeout.
    const CLASS_RETENTION: Duration = Duration::from_secs(60);

    pub(super) fn declare(
        self: &Rc<Self>,
        now: Instant,
        declared: RoutedService,
        classes: Vec<ClassSpec>,
    ) {
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
        entry.classes.retain(|(_, declared_at)| {
            now.saturating_duration_since(*declared_at) < Self::CLASS_RETENTION
        });
        entry.classes.sort_by(|(a, _), (b, _)| a.name.cmp(&b.name));
    }

    fn make_entry(self: &Rc<Self>, name: &SmolStr) -> ServiceEntry {
        let handle = Arc::new(ServiceHandle::new(
            self.make_spec(name, Vec::new(), Vec::new()),
            1,
            rand::rng().random(),
            self.clock.clone(),
            self.journal.clone(),
        ));
        {
            let settings = self.get_settings();
            handle.set_location(&settings.vm, settings.domain.clone());
        }
        if let Some(vms) = self.peers.get_fleet_size(self.clock.now()) {
            // Peers may be known before the service is created.
            handle.set_fleet(vms, 0);
        }
        self.apply_cold_fleet(&handle);
        if let Some(stop) = self.get_stop() {
            handle.stop(stop);
        }
        let (timer, sampler, gateway) = (handle.clone(), handle.clone(), self.clone());
        tokio::task::spawn_local(supervise("service timer", move || {
            timer.clone().run_timer()
        }));
        tokio::task::spawn_local(supervise("load requests", move || {
            run_samples(gateway.clone(), sampler.clone())
        }));
        ServiceEntry {
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
            .saturating_mul(u16::try_from(targets.len()).unwrap_or(u16::MAX));
        let sampling = make_sampling(&classes);
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

    pub(super) fn apply_all(&self) {
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

    pub(super) fn apply_service(&self, name: &str) {
        let services = self.services.borrow();
        let Ok(index) = find(&services, name) else {
            return;
        };
        let entry = &services[index];
        let connections = entry
            .declared
            .as_ref()
            .map_or(u16::MAX, |declared| declared.max_connections);
        let targets = self.list.borrow().get_targets(name, connections);
        let classes = entry
            .classes
            .iter()
            .map(|(class, _)| class.clone())
            .collect();
        let spec = self.make_spec(&entry.handle.name, classes, targets);
        self.apply_cold_rate(&entry.handle, entry.declared.as_ref());
        entry.handle.apply(spec, 1);
    }
}

/// Number of targets that get a load request at once: if a quarter of the
/// machines are slow at a time, at least one of three is not slow in 98 of 100
/// cases.
const SAMPLE_FANOUT: u8 = 3;
/// Maximum age of a load sample, since relative work time changes several times
/// a second.
const SAMPLE_MAX_AGE: Duration = Duration::from_millis(60);
/// Divisor of the shortest objective that gives the longest wait for load
/// samples.
const SAMPLE_WAIT_DIVISOR: u32 = 20;

fn make_sampling(classes: &[ClassSpec]) -> Option<Sampling> {
    let shortest = classes.iter().map(ClassSpec::get_objective).min()?;
    Some(Sampling {
        fanout: SAMPLE_FANOUT,
        fresh: SAMPLE_MAX_AGE,
        wait: shortest / SAMPLE_WAIT_DIVISOR,
    })
}

fn find(services: &[ServiceEntry], name: &str) -> Result<usize, usize> {
    services.binary_search_by(|entry| entry.handle.name.as_str().cmp(name))
}
