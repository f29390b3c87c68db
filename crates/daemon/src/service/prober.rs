//! Probes targets whose load report is stale.

use super::ServiceHandle;
use crate::caller::read_report;
use crate::fleet::{Fleet, Routes};
use gentianridge_core::{TargetKey, VmName, is_probe_owner};
use reqwest::{Method, Request};
use std::sync::Arc;
use std::time::Duration;

/// Time between two checks for targets that are due.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Greatest age at which a report is fresh.
const MAX_FRESH_AGE: Duration = Duration::from_secs(1);
/// Longest time for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Probes targets within the declared budget until the task is dropped.
pub(crate) async fn run_prober(fleet: Arc<Fleet>) {
    let mut owned_targets = OwnedTargets::default();
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let Some(routes) = fleet.get_routes() else {
            continue;
        };
        owned_targets.update(&fleet, &routes);
        for (service, owned) in routes.services.iter().zip(&owned_targets.by_service) {
            if let Some(target) = find_due_target(&fleet, service, owned) {
                tokio::spawn(probe(fleet.clone(), service.clone(), target));
            }
        }
    }
}

/// Targets that this VM probes.
///
/// Finding the owner of a target costs one hash for each live VM, so the
/// owners are recomputed only when the file or the live VMs change.
#[derive(Debug, Default)]
struct OwnedTargets {
    revision: u64,
    live: Vec<VmName>,
    /// Targets of each service in the order of the file.
    by_service: Vec<Vec<TargetKey>>,
}

impl OwnedTargets {
    fn update(&mut self, fleet: &Fleet, routes: &Routes) {
        let (revision, live) = (fleet.get_revision(), fleet.get_live());
        let is_same = self.revision == revision && self.live == live;
        if is_same && self.by_service.len() == routes.services.len() {
            return;
        }
        self.by_service = routes
            .services
            .iter()
            .map(|service| find_owned_targets(&fleet.me, &live, service))
            .collect();
        self.revision = revision;
        self.live = live;
    }
}

fn find_owned_targets(me: &VmName, live: &[VmName], service: &ServiceHandle) -> Vec<TargetKey> {
    service.read(|machine, _| {
        machine
            .get_target_keys()
            .filter(|&key| {
                machine
                    .get_target(key)
                    .is_some_and(|spec| is_probe_owner(me, live, &service.name, &spec.name))
            })
            .collect()
    })
}

/// Returns the owned target with the oldest report, if that report is stale
/// and the budget allows a probe.
fn find_due_target(
    fleet: &Fleet,
    service: &ServiceHandle,
    owned: &[TargetKey],
) -> Option<TargetKey> {
    let stalest = service.read(|machine, now| {
        owned
            .iter()
            .map(|&key| {
                (
                    machine.get_report_age(now, key).unwrap_or(Duration::MAX),
                    key,
                )
            })
            .max()
    });
    let (age, key) = stalest?;
    let is_due = age > MAX_FRESH_AGE && service.probe_budget.lock().try_consume(fleet.clock.now());
    is_due.then_some(key)
}

async fn probe(fleet: Arc<Fleet>, service: Arc<ServiceHandle>, key: TargetKey) {
    let found = service.read(|machine, _| {
        let spec = machine.get_target(key)?;
        let path = machine.get_spec().probe_path.clone();
        Some((spec.addr, spec.get_incarnation(), spec.connections, path))
    });
    let Some((addr, incarnation, connections, path)) = found else {
        return;
    };
    let Ok(url) = format!("http://{addr}{path}").parse() else {
        return;
    };
    let pool = service.pools.get(key.get_index(), addr, connections);
    service.count_probe();
    let sending = pool.client.execute(Request::new(Method::GET, url));
    match tokio::time::timeout(PROBE_TIMEOUT, sending).await {
        Ok(Ok(response)) => {
            let is_current =
                service.read(|machine, _| machine.is_same_target(key, addr, &incarnation));
            if let Some(report) = read_report(response.headers()).filter(|_| is_current) {
                fleet.record_load_report(&service, key, None, report);
            }
        }
        Ok(Err(_)) => {}
        Err(_) => {
            service.pools.discard(key.get_index(), &pool);
        }
    }
}
