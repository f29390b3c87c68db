//! The promises, checked against a history.

use super::{History, SubmissionResult};
use crate::{CallOutcome, CallResult};
use gentianridge_api::SubmitVerdict;
use std::time::Duration;

/// Bound on the time until a file is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(6);
/// Bound on the time until a leaving target gets no new work.
const NO_NEW_WORK: Duration = Duration::from_secs(3);

/// A promise that a history breaks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A key ran more than once.
    DuplicateRun(String),
    /// A key ran though every call with it was refused as not run.
    RanAfterNotRun(String),
    /// A caller got an answer of a key that never ran.
    AnsweredWithoutRun(String),
    /// An answer was cut or belongs to another call.
    WrongAnswer(String),
    /// A VM went back to an older revision.
    RevisionRegressed(String),
    /// Two submissions were accepted as the same revision.
    SharedRevision(u64),
    /// An accepted revision was not in force on a VM in time.
    NotInForce {
        /// VM that lagged.
        vm: String,
        /// Revision that was accepted.
        revision: u64,
    },
    /// A target got new work after it had left.
    WorkAfterLeave(String),
}

/// Returns every promise that the history breaks.
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
        let calls = calls_of(history, key);
        let is_refused = |call: &&CallResult| call.run == CallOutcome::NotRun;
        if *count > 0 && !calls.is_empty() && calls.iter().all(is_refused) {
            violations.push(Violation::RanAfterNotRun(key.clone()));
        }
    }
}

fn check_answers(history: &History, violations: &mut Vec<Violation>) {
    for call in &history.calls {
        if call.run == CallOutcome::Wrong {
            violations.push(Violation::WrongAnswer(call.path.clone()));
        }
        let Some(key) = &call.key else {
            continue;
        };
        let has_run = history.runs.iter().any(|(ran, _)| ran == key);
        if call.run == CallOutcome::Answered && !has_run {
            violations.push(Violation::AnsweredWithoutRun(key.clone()));
        }
    }
}

fn calls_of<'a>(history: &'a History, key: &str) -> Vec<&'a CallResult> {
    history
        .calls
        .iter()
        .filter(|call| call.key.as_deref() == Some(key))
        .collect()
}

fn check_revisions(history: &History, violations: &mut Vec<Violation>) {
    let mut highest: Vec<(&str, u64)> = Vec::new();
    for seen in &history.revisions {
        match highest.iter_mut().find(|(vm, _)| *vm == seen.vm) {
            Some((_, known)) if seen.revision < *known => {
                violations.push(Violation::RevisionRegressed(seen.vm.clone()));
            }
            Some((_, known)) => *known = seen.revision,
            None => highest.push((&seen.vm, seen.revision)),
        }
    }
    let accepted: Vec<&SubmissionResult> = history
        .submissions
        .iter()
        .filter(|submitted| submitted.verdict == SubmitVerdict::Accepted)
        .collect();
    for (index, submitted) in accepted.iter().enumerate() {
        let is_shared = accepted[index + 1..].iter().any(|other| {
            other.revision == submitted.revision && other.submission != submitted.submission
        });
        if is_shared {
            violations.push(Violation::SharedRevision(submitted.revision));
        }
        check_in_force(history, submitted, violations);
    }
}

fn check_in_force(
    history: &History,
    submitted: &SubmissionResult,
    violations: &mut Vec<Violation>,
) {
    let due = submitted.at + IN_FORCE;
    if due > history.length {
        return;
    }
    for vm in &history.survivors {
        let is_late = history
            .revisions
            .iter()
            .any(|seen| seen.vm == *vm && seen.at > due && seen.revision < submitted.revision);
        if is_late {
            violations.push(Violation::NotInForce {
                vm: vm.clone(),
                revision: submitted.revision,
            });
        }
    }
}

fn check_leaves(history: &History, violations: &mut Vec<Violation>) {
    for leave in &history.leaves {
        if leave.last_request > leave.announced + NO_NEW_WORK {
            violations.push(Violation::WorkAfterLeave(leave.target.clone()));
        }
    }
}
