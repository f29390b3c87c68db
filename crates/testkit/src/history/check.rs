//! Checks of a history against the promises.

use super::{History, SubmissionResult};
use crate::{CallOutcome, CallResult};
use gentianridge_api::SubmitVerdict;
use std::time::Duration;

/// Bound on the time until an accepted revision is in force on every VM.
const IN_FORCE_BOUND: Duration = Duration::from_secs(6);
/// Bound on the time until a leaving target receives no new requests.
const NO_NEW_WORK_BOUND: Duration = Duration::from_secs(3);

/// A violation of a promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// The request with this key ran more than once.
    DuplicateRun(String),
    /// The request with this key ran, but each call with it was refused as not run.
    RanAfterNotRun(String),
    /// A call with this key was answered, but the request never ran.
    AnsweredWithoutRun(String),
    /// An answer to this path was truncated or belongs to another call.
    WrongAnswer(String),
    /// An older revision came into force on this VM after a newer one.
    RevisionRegressed(String),
    /// Two submissions were accepted as this revision.
    SharedRevision(u64),
    /// An accepted revision was not in force on a VM within the bound.
    NotInForce {
        /// VM with an older revision in force.
        vm: String,
        /// Accepted revision.
        revision: u64,
    },
    /// This target received a request after the bound on its announced leave.
    WorkAfterLeave(String),
}

/// Returns every violation of a promise in the history.
pub fn check_history(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_runs(history, &mut violations);
    check_answers(history, &mut violations);
    check_revisions(history, &mut violations);
    check_leaves(history, &mut violations);
    violations
}

fn check_runs(history: &History, violations: &mut Vec<Violation>) {
    for (key, count) in &history.runs {
        if *count > 1 {
            violations.push(Violation::DuplicateRun(key.clone()));
        }
        let calls = find_calls(history, key);
        let is_refused = |call: &&CallResult| call.outcome == CallOutcome::NotRun;
        if *count > 0 && !calls.is_empty() && calls.iter().all(is_refused) {
            violations.push(Violation::RanAfterNotRun(key.clone()));
        }
    }
}

fn check_answers(history: &History, violations: &mut Vec<Violation>) {
    for call in &history.calls {
        if call.outcome == CallOutcome::Wrong {
            violations.push(Violation::WrongAnswer(call.path.clone()));
        }
        let Some(key) = &call.key else {
            continue;
        };
        let has_run = history
            .runs
            .iter()
            .any(|(started_key, _)| started_key == key);
        if call.outcome == CallOutcome::Answered && !has_run {
            violations.push(Violation::AnsweredWithoutRun(key.clone()));
        }
    }
}

fn find_calls<'a>(history: &'a History, key: &str) -> Vec<&'a CallResult> {
    history
        .calls
        .iter()
        .filter(|call| call.key.as_deref() == Some(key))
        .collect()
}

fn check_revisions(history: &History, violations: &mut Vec<Violation>) {
    let mut highest_revisions: Vec<(&str, u64)> = Vec::new();
    for sample in &history.revisions {
        match highest_revisions
            .iter_mut()
            .find(|(vm, _)| *vm == sample.vm)
        {
            Some((_, highest_revision)) if sample.revision < *highest_revision => {
                violations.push(Violation::RevisionRegressed(sample.vm.clone()));
            }
            Some((_, highest_revision)) => *highest_revision = sample.revision,
            None => highest_revisions.push((&sample.vm, sample.revision)),
        }
    }
    let accepted: Vec<&SubmissionResult> = history
        .submissions
        .iter()
        .filter(|result| result.verdict == SubmitVerdict::Accepted)
        .collect();
    for (index, result) in accepted.iter().enumerate() {
        let is_shared = accepted[index + 1..].iter().any(|other| {
            other.revision == result.revision && other.submission != result.submission
        });
        if is_shared {
            violations.push(Violation::SharedRevision(result.revision));
        }
        check_in_force(history, result, violations);
    }
}

fn check_in_force(history: &History, result: &SubmissionResult, violations: &mut Vec<Violation>) {
    let due = result.at + IN_FORCE_BOUND;
    if due > history.length {
        return;
    }
    for vm in &history.survivors {
        let is_late = history
            .revisions
            .iter()
            .any(|sample| sample.vm == *vm && sample.at > due && sample.revision < result.revision);
        if is_late {
            violations.push(Violation::NotInForce {
                vm: vm.clone(),
                revision: result.revision,
            });
        }
    }
}

fn check_leaves(history: &History, violations: &mut Vec<Violation>) {
    for leave in &history.leaves {
        if leave.last_request > leave.announced + NO_NEW_WORK_BOUND {
            violations.push(Violation::WorkAfterLeave(leave.target.clone()));
        }
    }
}
