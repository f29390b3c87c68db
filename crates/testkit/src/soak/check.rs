//! The promises, checked on what a run saw.

use super::record::{DisruptionKind, Record, RequestOutcome, SentRequest};
use crate::FakeTarget;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A promise that a run broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Breach {
    /// Work that must not repeat ran more than once.
    RanTwice(String),
    /// A refusal said that a request had not run, and it had.
    RanAfterRefusal(String),
    /// An answer was not the target's whole one to its request.
    WrongAnswer(String),
    /// A target ran a request that no caller sent.
    UnknownRequest(String),
    /// A connection ended under a request that a target had, at a VM that lived.
    ConnectionLost(String),
    /// A request had no answer long after its time.
    Late(String),
    /// A target that leaves got work.
    WorkAfterLeave(String),
    /// A configuration was not in force in time.
    NotInForce(String),
    /// A VM went back to an older configuration.
    ConfigurationReverted(String),
    /// Requests were sent more often than the fleet's limit allows.
    TooManyRepeats(String),
    /// A daemon ended by itself.
    DaemonExited(String),
    /// Requests were not served after all faults had ended.
    NotRecovered(String),
}

/// Time for which a VM must have been without trouble to be bound by a time.
const STABLE: Duration = Duration::from_secs(3);
/// Bound of leaves and configurations in the settings of the run.
const BOUND: Duration = Duration::from_secs(2);
/// Slack of the bounds for the way of a request.
const WAY: Duration = Duration::from_millis(250);
/// `timeout` of the routes, and the slack after which an answer is missing.
const TIMEOUT: Duration = Duration::from_secs(2);
const LATE: Duration = Duration::from_secs(1);
/// Limit of repeats in the settings of the run.
const REPEAT_RATIO: f64 = 0.2;
const REPEAT_EXTRA: f64 = 56.0;
/// Share of the requests that must be served after all faults have ended.
const RECOVERED: f64 = 0.95;

const ALL: [DisruptionKind; 3] = [
    DisruptionKind::Process,
    DisruptionKind::Stopping,
    DisruptionKind::Store,
];

/// Returns every promise that the run broke.
pub(super) fn check(record: &Record, targets: &[FakeTarget]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let runs = collect_runs(targets);
    let sent = record.sent.lock();
    for request in sent.iter() {
        let count = runs.get(request.id.as_str()).copied().unwrap_or(0);
        check_request(record, request, count, &mut breaches);
    }
    let known: BTreeSet<&str> = sent.iter().map(|r| r.id.as_str()).collect();
    for id in runs.keys().filter(|id| !known.contains(id.as_str())) {
        if !id.starts_with(super::CHECK_ID_PREFIX) {
            breaches.push(Breach::UnknownRequest(id.clone()));
        }
    }
    check_repeats(sent.len(), targets, &mut breaches);
    check_versions(record, &mut breaches);
    check_leaves(record, targets, &mut breaches);
    for vm in record.unexpected_exits.lock().iter() {
        breaches.push(Breach::DaemonExited(format!("vm-{vm}")));
    }
    let (good, all) = *record.recovered.lock();
    if (good as f64) < RECOVERED * all as f64 {
        breaches.push(Breach::NotRecovered(format!("{good} of {all}")));
    }
    breaches
}

fn collect_runs(targets: &[FakeTarget]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for id in targets.iter().flat_map(FakeTarget::get_run_ids) {
        *runs.entry(id).or_insert(0) += 1;
    }
    runs
}

fn check_request(record: &Record, request: &SentRequest, runs: usize, breaches: &mut Vec<Breach>) {
    let SentRequest { id, vm, .. } = request;
    if request.is_once && runs > 1 {
        breaches.push(Breach::RanTwice(format!("{id}: {runs} runs")));
    }
    let took = request.ended - request.sent;
    let had =
        |kinds: &[DisruptionKind]| record.had_disruption(*vm, kinds, request.sent, request.ended);
    match &request.end {
        RequestOutcome::Reply(reply) => {
            let promises_not_run = matches!(reply.status, 408 | 421 | 429 | 503);
            if request.is_once && promises_not_run && runs > 0 {
                let text = format!("{id}: status {}, {runs} runs", reply.status);
                breaches.push(Breach::RanAfterRefusal(text));
            }
            let is_good = reply.is_complete
                && reply.get("gentianridge-attempt-id") == Some(id)
                && reply.get("gentianridge-response-signature").is_some()
                && reply.body.starts_with("done by ");
            if reply.status == 200 && !(is_good && runs > 0) {
                breaches.push(Breach::WrongAnswer(format!("{id}: {reply:?}")));
            }
        }
        // One that crosses the close of an idle connection was not read.
        RequestOutcome::ConnectionClosed if runs > 0 && !had(&[DisruptionKind::Process]) => {
            let text = format!("{id} at vm-{vm} after {took:?}, {runs} runs");
            breaches.push(Breach::ConnectionLost(text));
        }
        RequestOutcome::ConnectionClosed | RequestOutcome::TimedOut => {}
    }
    if took > TIMEOUT + LATE && !had(&[DisruptionKind::Process]) {
        breaches.push(Breach::Late(format!("{id} at vm-{vm}: {took:?}")));
    }
}

fn check_repeats(requests: usize, targets: &[FakeTarget], breaches: &mut Vec<Breach>) {
    let mut ids: Vec<String> = targets.iter().flat_map(|t| t.get_arrivals()).collect();
    let all = ids.len();
    ids.sort();
    ids.dedup();
    let repeats = all - ids.len();
    let allowed = REPEAT_RATIO * requests as f64 + REPEAT_EXTRA;
    if repeats as f64 > allowed {
        let text = format!("{repeats} repeats of {requests} requests");
        breaches.push(Breach::TooManyRepeats(text));
    }
}

fn check_versions(record: &Record, breaches: &mut Vec<Breach>) {
    let version_checks = record.version_checks.lock();
    let versions = record.versions.lock();
    for look in version_checks.iter().filter(|look| !look.is_in_force) {
        let Some((_, known_at)) = versions.iter().find(|(v, _)| *v == look.version) else {
            continue;
        };
        let is_calm = !record.had_disruption(look.vm, &ALL, *known_at - STABLE, look.ended);
        if look.sent > *known_at + BOUND + WAY && is_calm {
            let after = look.sent - *known_at;
            let text = format!("{} on vm-{} after {after:?}", look.version, look.vm);
            breaches.push(Breach::NotInForce(text));
        }
        let was_in_force = version_checks.iter().any(|other| {
            (other.vm, other.start) == (look.vm, look.start)
                && other.is_in_force
                && other.version >= look.version
                && other.ended < look.sent
        });
        if was_in_force {
            let text = format!("vm-{} without {}", look.vm, look.version);
            breaches.push(Breach::ConfigurationReverted(text));
        }
    }
}

fn check_leaves(record: &Record, targets: &[FakeTarget], breaches: &mut Vec<Breach>) {
    for (target, left_at) in record.drains.lock().iter() {
        let is_bound = |at: Instant| {
            let calm = |vm| !record.had_disruption(vm, &ALL, *left_at - STABLE, at);
            at > *left_at + BOUND + WAY && (0..super::plan::VMS).all(calm)
        };
        let late = targets[*target].get_run_times();
        for at in late.into_iter().filter(|at| is_bound(*at)) {
            let text = format!("t{target} after {:?}", at - *left_at);
            breaches.push(Breach::WorkAfterLeave(text));
        }
    }
}
