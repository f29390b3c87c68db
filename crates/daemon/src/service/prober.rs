//! Probes of targets about which nothing fresh is known.

use super::ServiceHandle;
use crate::caller::read_report;
use crate::fleet::Fleet;
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
    loop {
        tokio::time::sleep(ROUND).await;
        let Some(routes) = fleet.get_routes() else {
            continue;
        };
        let live = fleet.get_live();
        for service in &routes.services {
            if let Some(target) = find_due(&fleet, service, &live) {
                tokio::spawn(probe(fleet.clone(), service.clone(), target));
            }
        }
    }
}

/// Returns the stalest target of which this VM is the prober, if the budget allows a probe.
fn find_due(fleet: &Fleet, service: &ServiceHandle, live: &[VmName]) -> Option<TargetKey> {
    let stalest = service.read(|machine, now| {
        machine
            .get_target_keys()
            .filter(|&key| {
                machine
                    .get_target(key)
                    .is_some_and(|spec| is_probe_owner(&fleet.me, live, &service.name, &spec.name))
            })
            .map(|key| {
                (
                    machine.get_report_age(now, key).unwrap_or(Duration::MAX),
                    key,
                )
            })
            .max()
    });
    let (age, key) = stalest?;
    let is_due = age > FRESH && service.probe_budget.lock().spend(fleet.clock.now());
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
