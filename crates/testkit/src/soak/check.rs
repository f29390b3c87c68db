//! The promises, checked on what a run saw.

use super::record::{End, Record, Sent, TroubleKind};
use crate::PublishedTarget;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A promise that a run broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Breach {
    /// Work that must not repeat ran more than once.
    Twice(String),
    /// A refusal said that a request had not run, and it had.
    RanAfterRefusal(String),
    /// An answer was not the target's whole one to its request.
    WrongAnswer(String),
    /// A target ran a request that no caller sent.
    Unasked(String),
    /// A connection ended under a request that a target had, at a VM that lived.
    Lost(String),
    /// A request had no answer long after its time.
    Late(String),
    /// A target that leaves got work.
    WorkAfterLeave(String),
    /// A configuration was not in force in time.
    NotInForce(String),
    /// A VM went back to an older configuration.
    WentBack(String),
    /// Requests were sent more often than the fleet's limit allows.
    TooManyRepeats(String),
    /// A daemon ended by itself.
    Ended(String),
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

const ALL: [TroubleKind; 3] = [
    TroubleKind::Process,
    TroubleKind::Stopping,
    TroubleKind::Store,
];

/// Returns every promise that the run broke.
pub(super) fn check(record: &Record, targets: &[PublishedTarget]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let runs = collect_runs(targets);
    let sent = record.sent.lock();
    for request in sent.iter() {
        let count = runs.get(request.id.as_str()).copied().unwrap_or(0);
        check_request(record, request, count, &mut breaches);
    }
    let known: BTreeSet<&str> = sent.iter().map(|r| r.id.as_str()).collect();
    for id in runs.keys().filter(|id| !known.contains(id.as_str())) {
        if !id.starts_with(super::LOOK_ID) {
            breaches.push(Breach::Unasked(id.clone()));
        }
    }
    check_repeats(sent.len(), targets, &mut breaches);
    check_versions(record, &mut breaches);
    check_leaves(record, targets, &mut breaches);
    for vm in record.own_ends.lock().iter() {
        breaches.push(Breach::Ended(format!("vm-{vm}")));
    }
    let (good, all) = *record.recovered.lock();
    if (good as f64) < RECOVERED * all as f64 {
        breaches.push(Breach::NotRecovered(format!("{good} of {all}")));
    }
    breaches
}

fn collect_runs(targets: &[PublishedTarget]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for id in targets.iter().flat_map(PublishedTarget::get_run_ids) {
        *runs.entry(id).or_insert(0) += 1;
    }
    runs
}

fn check_request(record: &Record, request: &Sent, runs: usize, breaches: &mut Vec<Breach>) {
    let Sent { id, vm, .. } = request;
    if request.is_once && runs > 1 {
        breaches.push(Breach::Twice(format!("{id}: {runs} runs")));
    }
    let took = request.ended - request.sent;
    let had = |kinds: &[TroubleKind]| record.had_trouble(*vm, kinds, request.sent, request.ended);
    match &request.end {
        End::Reply(reply) => {
            let promises_not_run = matches!(reply.status, 408 | 421 | 429 | 503);
            if request.is_once && promises_not_run && runs > 0 {
                let text = format!("{id}: status {}, {runs} runs", reply.status);
                breaches.push(Breach::RanAfterRefusal(text));
            }
            let is_good = reply.is_whole
                && reply.get("gentianridge-attempt-id") == Some(id)
                && reply.get("gentianridge-response-signature").is_some()
                && reply.body.starts_with("done by ");
            if reply.status == 200 && !(is_good && runs > 0) {
                breaches.push(Breach::WrongAnswer(format!("{id}: {reply:?}")));
            }
        }
        // One that crosses the close of an idle connection was not read.
        End::Cut if runs > 0 && !had(&[TroubleKind::Process]) => {
            let text = format!("{id} at vm-{vm} after {took:?}, {runs} runs");
            breaches.push(Breach::Lost(text));
        }
        End::Cut | End::Waited => {}
    }
    if took > TIMEOUT + LATE && !had(&[TroubleKind::Process]) {
        breaches.push(Breach::Late(format!("{id} at vm-{vm}: {took:?}")));
    }
}

fn check_repeats(requests: usize, targets: &[PublishedTarget], breaches: &mut Vec<Breach>) {
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
    let looks = record.looks.lock();
    let versions = record.versions.lock();
    for look in looks.iter().filter(|look| !look.is_in_force) {
        let Some((_, known_at)) = versions.iter().find(|(v, _)| *v == look.version) else {
            continue;
        };
        let is_calm = !record.had_trouble(look.vm, &ALL, *known_at - STABLE, look.ended);
        if look.sent > *known_at + BOUND + WAY && is_calm {
            let after = look.sent - *known_at;
            let text = format!("{} on vm-{} after {after:?}", look.version, look.vm);
            breaches.push(Breach::NotInForce(text));
        }
        let was_in_force = looks.iter().any(|other| {
            (other.vm, other.start) == (look.vm, look.start)
                && other.is_in_force
                && other.version >= look.version
                && other.ended < look.sent
        });
        if was_in_force {
            let text = format!("vm-{} without {}", look.vm, look.version);
            breaches.push(Breach::WentBack(text));
        }
    }
}

fn check_leaves(record: &Record, targets: &[PublishedTarget], breaches: &mut Vec<Breach>) {
    for (target, left_at) in record.drains.lock().iter() {
        let is_bound = |at: Instant| {
            let calm = |vm| !record.had_trouble(vm, &ALL, *left_at - STABLE, at);
            at > *left_at + BOUND + WAY && (0..super::plan::VMS).all(calm)
        };
        let late = targets[*target].get_run_times();
        for at in late.into_iter().filter(|at| is_bound(*at)) {
            let text = format!("t{target} after {:?}", at - *left_at);
            breaches.push(Breach::WorkAfterLeave(text));
        }
    }
}
