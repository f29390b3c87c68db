//! Checks the promises on the observations of a run.

use super::keys::{REVOKE, get_workspace};
use super::record::{DisruptionKind, Record, RequestOutcome, SentRequest};
use crate::FakeTarget;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A violation of a promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SoakViolation {
    /// A once-only request ran more than once.
    DuplicateRun(String),
    /// A refusal stated that a once-only request had not run, but it had run.
    RanAfterRefusal(String),
    /// An answer with status 200 was not the complete, signed answer of a target to this
    /// request.
    WrongAnswer(String),
    /// A target ran a request that no caller sent.
    UnknownRequest(String),
    /// A connection ended without an answer after a target ran the request, while the
    /// process of the VM was undisturbed.
    ConnectionLost(String),
    /// A request ended more than one second after the route's timeout.
    Late(String),
    /// A leaving target received work after the bound.
    WorkAfterLeave(String),
    /// A configuration was not in force within the bound.
    NotInForce(String),
    /// A VM no longer had a configuration that had been in force on it.
    ConfigurationRegressed(String),
    /// The targets received more repeats of requests than the fleet's limit allows.
    TooManyRepeats(String),
    /// A daemon exited without a signal of the run.
    DaemonExited(String),
    /// A request ran that was sent later than the bound after its key was withdrawn.
    WithdrawnKey(String),
    /// A request ran under the name of another workspace, or with its key.
    WrongWorkspace(String),
    /// A key in force was refused as unknown.
    KeyRefused(String),
    /// Too few requests were served after all faults had ended.
    NotRecovered(String),
}

/// Time without disruption after which the bounds apply to a VM.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Bound for leaves and configurations in the settings of the run (`drain` and `apply`).
const CHANGE_BOUND: Duration = Duration::from_secs(2);
/// Slack of the bounds for the transport of a request.
const TRANSPORT_SLACK: Duration = Duration::from_millis(250);
/// `timeout` of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the timeout by which a request must have ended.
const LATE_SLACK: Duration = Duration::from_secs(1);
/// Limit of repeats in the settings of the run (`ratio` and `extra`).
const REPEAT_RATIO: f64 = 0.2;
const REPEAT_EXTRA: f64 = 56.0;
/// Share of the requests that must be served after all faults have ended.
const MIN_RECOVERED_SHARE: f64 = 0.95;

/// Headers in which targets receive the name of the workspace, and must receive no key.
const WORKSPACE: &str = "gentianridge-tenant";
const AUTHORIZATION: &str = "authorization";

const ALL_DISRUPTIONS: [DisruptionKind; 3] = [
    DisruptionKind::Process,
    DisruptionKind::Stopping,
    DisruptionKind::Store,
];

/// Returns every violation of a promise in the run.
pub(super) fn check(record: &Record, targets: &[FakeTarget]) -> Vec<SoakViolation> {
    let mut violations = Vec::new();
    let runs = collect_runs(targets);
    let requests = record.requests.lock();
    for request in requests.iter() {
        let count = runs.get(request.id.as_str()).copied().unwrap_or(0);
        check_request(record, request, count, &mut violations);
    }
    let sent_ids: BTreeSet<&str> = requests.iter().map(|r| r.id.as_str()).collect();
    for id in runs.keys().filter(|id| !sent_ids.contains(id.as_str())) {
        if !id.starts_with(super::CHECK_ID_PREFIX) {
            violations.push(SoakViolation::UnknownRequest(id.clone()));
        }
    }
    check_keys(record, &requests, targets, &mut violations);
    check_repeats(requests.len(), targets, &mut violations);
    check_versions(record, &mut violations);
    check_leaves(record, targets, &mut violations);
    for vm in record.unexpected_exits.lock().iter() {
        violations.push(SoakViolation::DaemonExited(format!("vm-{vm}")));
    }
    let (served, all) = *record.recovered.lock();
    if (served as f64) < MIN_RECOVERED_SHARE * all as f64 {
        violations.push(SoakViolation::NotRecovered(format!("{served} of {all}")));
    }
    violations
}

/// Returns how often each request id ran on all targets together.
fn collect_runs(targets: &[FakeTarget]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for id in targets.iter().flat_map(FakeTarget::get_run_ids) {
        *runs.entry(id).or_insert(0) += 1;
    }
    runs
}

fn check_request(
    record: &Record,
    request: &SentRequest,
    runs: usize,
    violations: &mut Vec<SoakViolation>,
) {
    let SentRequest { id, vm, .. } = request;
    if request.is_once && runs > 1 {
        violations.push(SoakViolation::DuplicateRun(format!("{id}: {runs} runs")));
    }
    let elapsed = request.ended_at - request.sent_at;
    let was_disrupted = |kinds: &[DisruptionKind]| {
        record.had_disruption(*vm, kinds, request.sent_at, request.ended_at)
    };
    match &request.outcome {
        RequestOutcome::Reply(reply) => {
            let states_not_run = matches!(reply.status, 401 | 408 | 421 | 429 | 503);
            if request.is_once && states_not_run && runs > 0 {
                let text = format!("{id}: status {}, {runs} runs", reply.status);
                violations.push(SoakViolation::RanAfterRefusal(text));
            }
            let is_valid = reply.is_complete
                && reply.get("gentianridge-attempt-id") == Some(id)
                && reply.get("gentianridge-response-signature").is_some()
                && reply.body.starts_with("done by ");
            if reply.status == 200 && !(is_valid && runs > 0) {
                violations.push(SoakViolation::WrongAnswer(format!("{id}: {reply:?}")));
            }
        }
        // A request that was sent while the daemon closed an idle connection was not read:
        // it has no run.
        RequestOutcome::ConnectionClosed
            if runs > 0 && !was_disrupted(&[DisruptionKind::Process]) =>
        {
            let text = format!("{id} at vm-{vm} after {elapsed:?}, {runs} runs");
            violations.push(SoakViolation::ConnectionLost(text));
        }
        RequestOutcome::ConnectionClosed | RequestOutcome::TimedOut => {}
    }
    if elapsed > ROUTE_TIMEOUT + LATE_SLACK && !was_disrupted(&[DisruptionKind::Process]) {
        violations.push(SoakViolation::Late(format!("{id} at vm-{vm}: {elapsed:?}")));
    }
}

fn check_keys(
    record: &Record,
    requests: &[SentRequest],
    targets: &[FakeTarget],
    violations: &mut Vec<SoakViolation>,
) {
    let withdrawals = record.withdrawals.lock();
    let seen: Vec<(String, Vec<String>, Vec<String>)> = targets
        .iter()
        .flat_map(|target| target.get_run_headers(WORKSPACE, AUTHORIZATION))
        .collect();
    for request in requests {
        let Some(key) = request.key else {
            continue;
        };
        let withdrawn = withdrawals.iter().find(|(other, _)| *other == key);
        let runs = seen.iter().filter(|(id, ..)| *id == request.id);
        let late =
            withdrawn.and_then(|(_, at)| request.sent_at.checked_duration_since(*at + REVOKE));
        for (id, names, keys) in runs {
            if let Some(late) = late {
                let text = format!("{id} at vm-{}, {late:?} after the bound", request.vm);
                violations.push(SoakViolation::WithdrawnKey(text));
            }
            if names[..] != [get_workspace(key)] || !keys.is_empty() {
                let text = format!("{id}: {names:?}, {} keys", keys.len());
                violations.push(SoakViolation::WrongWorkspace(text));
            }
        }
        let is_unauthorized =
            matches!(&request.outcome, RequestOutcome::Reply(reply) if reply.status == 401);
        let was_in_force = withdrawn.is_none_or(|(_, at)| request.ended_at < *at);
        if is_unauthorized && was_in_force {
            let text = format!("{} at vm-{}", request.id, request.vm);
            violations.push(SoakViolation::KeyRefused(text));
        }
    }
}

fn check_repeats(requests: usize, targets: &[FakeTarget], violations: &mut Vec<SoakViolation>) {
    let mut ids: Vec<String> = targets.iter().flat_map(|t| t.get_arrivals()).collect();
    let arrivals = ids.len();
    ids.sort();
    ids.dedup();
    let repeats = arrivals - ids.len();
    let allowed = REPEAT_RATIO * requests as f64 + REPEAT_EXTRA;
    if repeats as f64 > allowed {
        let text = format!("{repeats} repeats of {requests} requests");
        violations.push(SoakViolation::TooManyRepeats(text));
    }
}

fn check_versions(record: &Record, violations: &mut Vec<SoakViolation>) {
    let checks = record.version_checks.lock();
    let versions = record.versions.lock();
    for check in checks.iter().filter(|check| !check.is_in_force) {
        let Some((_, published_at)) = versions.iter().find(|(v, _)| *v == check.version) else {
            continue;
        };
        let is_undisturbed = !record.had_disruption(
            check.vm,
            &ALL_DISRUPTIONS,
            *published_at - STABLE_TIME,
            check.ended_at,
        );
        if check.sent_at > *published_at + CHANGE_BOUND + TRANSPORT_SLACK && is_undisturbed {
            let after = check.sent_at - *published_at;
            let text = format!("{} on vm-{} after {after:?}", check.version, check.vm);
            violations.push(SoakViolation::NotInForce(text));
        }
        let was_in_force = checks.iter().any(|other| {
            (other.vm, other.start) == (check.vm, check.start)
                && other.is_in_force
                && other.version >= check.version
                && other.ended_at < check.sent_at
        });
        if was_in_force {
            let text = format!("vm-{} without {}", check.vm, check.version);
            violations.push(SoakViolation::ConfigurationRegressed(text));
        }
    }
}

fn check_leaves(record: &Record, targets: &[FakeTarget], violations: &mut Vec<SoakViolation>) {
    for (target, left_at) in record.drains.lock().iter() {
        let is_late = |at: Instant| {
            let is_undisturbed =
                |vm| !record.had_disruption(vm, &ALL_DISRUPTIONS, *left_at - STABLE_TIME, at);
            at > *left_at + CHANGE_BOUND + TRANSPORT_SLACK
                && (0..super::plan::VMS).all(is_undisturbed)
        };
        let run_times = targets[*target].get_run_times();
        for at in run_times.into_iter().filter(|at| is_late(*at)) {
            let text = format!("t{target} after {:?}", at - *left_at);
            violations.push(SoakViolation::WorkAfterLeave(text));
        }
    }
}
