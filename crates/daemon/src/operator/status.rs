//! The status of this VM.

use crate::fleet::Fleet;
use crate::service::ServiceHandle;
use gentianridge_api::{
    ClassStatus, PeerStatus, RevisionStatus, ServiceCounters, ServiceStatus, StatusAnswer,
};
use gentianridge_core::{PeerState, Service};
use smol_str::{SmolStr, format_smolstr};
use std::sync::atomic::Ordering;

/// Collects the status of this VM.
pub(crate) fn make_status(fleet: &Fleet) -> StatusAnswer {
    let services = fleet
        .get_routes()
        .map(|routes| {
            routes
                .services
                .iter()
                .map(|s| make_service_status(s))
                .collect()
        })
        .unwrap_or_default();
    StatusAnswer {
        vm: fleet.me.clone(),
        domain: fleet.settings.domain.clone(),
        is_ready: fleet.is_ready(),
        is_stopping: fleet.is_stopping(),
        is_store_up: fleet.store.is_up(),
        revision: make_revision_status(fleet),
        peers: make_peer_status(fleet),
        services,
        quarantined: list_quarantined(fleet),
    }
}

fn make_revision_status(fleet: &Fleet) -> Option<RevisionStatus> {
    let current = fleet.get_current_revision()?;
    Some(RevisionStatus {
        number: current.record.number,
        submission: current.record.submission,
        author: current.record.author,
        submitted_ms: current.record.submitted_ms,
        in_force_ms: current.since_ms,
    })
}

fn make_peer_status(fleet: &Fleet) -> Vec<PeerStatus> {
    let now = fleet.clock.now();
    let membership = fleet.membership.lock();
    membership
        .get_peers(now)
        .filter_map(|(view, state)| {
            Some(PeerStatus {
                vm: view.vm.clone(),
                state: get_state_name(state),
                revision: view.revision,
                operator_addr: view.operator_addr?,
            })
        })
        .collect()
}

fn get_state_name(state: PeerState) -> SmolStr {
    match state {
        PeerState::Live => "live".into(),
        PeerState::Leaving => "leaving".into(),
        PeerState::Silent => "silent".into(),
    }
}

fn list_quarantined(fleet: &Fleet) -> Vec<SmolStr> {
    let quarantine = fleet.quarantine.lock();
    quarantine
        .get_quarantined()
        .iter()
        .map(|fingerprint| format_smolstr!("{fingerprint:016x}"))
        .collect()
}

fn make_service_status(service: &ServiceHandle) -> ServiceStatus {
    let probes = service.probes.load(Ordering::Relaxed);
    service.read(|machine, now| ServiceStatus {
        name: service.name.clone(),
        reason: machine
            .get_spec()
            .note
            .as_ref()
            .map(|note| note.reason.clone()),
        classes: make_class_status(machine),
        targets: machine.get_status(now),
        counters: make_counters(machine, probes),
    })
}

fn make_class_status(machine: &Service) -> Vec<ClassStatus> {
    machine
        .get_class_keys()
        .filter_map(|key| {
            let spec = machine.get_class(key)?;
            Some(ClassStatus {
                name: spec.name.clone(),
                kind: spec.kind.as_str().into(),
                deadline_ms: spec.deadline.as_millis() as u64,
                reserve: spec.reserve,
                waiting: machine.count_waiting_in_class(key),
                queue: spec.queue,
            })
        })
        .collect()
}

fn make_counters(machine: &Service, probes: u64) -> ServiceCounters {
    let totals = machine.get_counters();
    ServiceCounters {
        arrivals: totals.arrivals,
        delivered: totals.delivered,
        refused_not_run: totals.refused_not_run,
        refused_unknown: totals.refused_unknown,
        retries: totals.retries,
        hedges: totals.hedges,
        probes,
        sheds: totals.sheds,
        ejections: totals.ejections,
    }
}
