//! Probes of targets about which nothing fresh is known.

use super::ServiceHandle;
use crate::caller::read_report;
use crate::fleet::{Fleet, Routes};
use gentianridge_core::{TargetKey, VmName, is_probe_owner};
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks at the targets.
const ROUND: Duration = Duration::from_millis(100);
/// Age from which a report is no longer fresh.
const FRESH: Duration = Duration::from_secs(1);
/// Longest time for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Probes within the declared budget until the task is dropped.
pub(crate) async fn run_prober(fleet: Arc<Fleet>) {
    let mut duties = Duties::default();
    loop {
        tokio::time::sleep(ROUND).await;
        let Some(routes) = fleet.get_routes() else {
            continue;
        };
        duties.update(&fleet, &routes);
        for (service, owned) in routes.services.iter().zip(&duties.owned) {
            if let Some(target) = find_due(&fleet, service, owned) {
                tokio::spawn(probe(fleet.clone(), service.clone(), target));
            }
        }
    }
}

/// Targets that this VM probes.
///
/// Finding the owner of a target costs one hash for each live VM, so the
/// owners are found again only when the file or the live VMs change.
#[derive(Debug, Default)]
struct Duties {
    revision: u64,
    live: Vec<VmName>,
    /// Targets of each service in the order of the file.
    owned: Vec<Vec<TargetKey>>,
}

impl Duties {
    fn update(&mut self, fleet: &Fleet, routes: &Routes) {
        let (revision, live) = (fleet.get_revision(), fleet.get_live());
        let is_same = self.revision == revision && self.live == live;
        if is_same && self.owned.len() == routes.services.len() {
            return;
        }
        self.owned = routes
            .services
            .iter()
            .map(|service| find_owned(&fleet.me, &live, service))
            .collect();
        self.revision = revision;
        self.live = live;
    }
}

fn find_owned(me: &VmName, live: &[VmName], service: &ServiceHandle) -> Vec<TargetKey> {
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

/// Returns the target with the oldest report, if the budget allows a probe.
fn find_due(fleet: &Fleet, service: &ServiceHandle, owned: &[TargetKey]) -> Option<TargetKey> {
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
    let is_due = age > FRESH && service.probe_budget.lock().try_consume(fleet.clock.now());
    is_due.then_some(key)
}

async fn probe(fleet: Arc<Fleet>, service: Arc<ServiceHandle>, key: TargetKey) {
    let found = service.read(|machine, _| {
        let spec = machine.get_target(key)?;
        let path = machine.get_spec().probe_path.clone();
        Some((spec.addr, spec.connections, path))
    });
    let Some((addr, connections, path)) = found else {
        return;
    };
    let Ok(link) = service.links.get(key.get_index(), addr, connections) else {
        return;
    };
    service.count_probe();
    let url = format!("http://{addr}{path}");
    let request = link.client.get(url).timeout(PROBE_TIMEOUT);
    match request.send().await {
        Ok(response) => {
            if let Some(report) = read_report(response.headers()) {
                fleet.take_report(&service, key, None, report);
            }
        }
        Err(error) if error.is_timeout() => {
            service.links.give_up(key.get_index(), &link);
        }
        Err(_) => {}
    }
}
