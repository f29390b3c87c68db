//! Checks histories of seeded concurrent runs, and the checker itself on
//! histories with a known violation.

use gentianridge_api::SubmitVerdict;
use gentianridge_testkit::{
    CallOutcome, CallResult, History, Leave, RevisionSample, SubmissionResult, Violation,
    check_history, run_history,
};
use std::time::Duration;

/// Seeds of the short run; `cargo run --release --example history` runs 200.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

#[tokio::test(flavor = "multi_thread")]
async fn seeded_runs() {
    for seed in SEEDS {
        let history = run_history(seed).await.expect("the fleet starts");
        let violations = check_history(&history);
        assert!(
            violations.is_empty(),
            "seed {seed}: {violations:?}\nfaults {:?}",
            history.faults
        );
        assert!(!history.runs.is_empty(), "seed {seed} ran no confirmation");
    }
}

fn call(key: &str, outcome: CallOutcome) -> CallResult {
    CallResult {
        group: "confirm",
        path: "/draw/confirm".into(),
        key: Some(key.into()),
        at: Duration::ZERO,
        elapsed: Duration::ZERO,
        added_latency: None,
        status: 200,
        code: None,
        outcome,
        vm: None,
    }
}

fn sample(vm: &str, revision: u64, seconds: u64) -> RevisionSample {
    RevisionSample {
        vm: vm.into(),
        revision,
        at: Duration::from_secs(seconds),
    }
}

fn accepted(submission: &str, revision: u64) -> SubmissionResult {
    SubmissionResult {
        submission: submission.into(),
        verdict: SubmitVerdict::Accepted,
        revision,
        at: Duration::from_secs(1),
    }
}

#[test]
fn valid_history() {
    let history = History {
        calls: vec![
            call("a", CallOutcome::Answered),
            call("b", CallOutcome::NotRun),
        ],
        runs: vec![("a".into(), 1)],
        ..History::default()
    };
    assert!(check_history(&history).is_empty());
}

#[test]
fn duplicate_run() {
    let history = History {
        runs: vec![("a".into(), 2)],
        ..History::default()
    };
    assert_eq!(
        check_history(&history),
        [Violation::DuplicateRun("a".into())]
    );
}

#[test]
fn run_after_refusal() {
    let history = History {
        calls: vec![call("a", CallOutcome::NotRun)],
        runs: vec![("a".into(), 1)],
        ..History::default()
    };
    assert_eq!(
        check_history(&history),
        [Violation::RanAfterNotRun("a".into())]
    );
}

#[test]
fn answer_without_run() {
    let history = History {
        calls: vec![call("a", CallOutcome::Answered)],
        ..History::default()
    };
    assert_eq!(
        check_history(&history),
        [Violation::AnsweredWithoutRun("a".into())]
    );
}

#[test]
fn wrong_answer() {
    let history = History {
        calls: vec![call("a", CallOutcome::Wrong)],
        ..History::default()
    };
    assert_eq!(
        check_history(&history),
        [Violation::WrongAnswer("/draw/confirm".into())]
    );
}

#[test]
fn decreased_revision() {
    let history = History {
        revisions: vec![sample("vm1", 2, 1), sample("vm1", 1, 2)],
        ..History::default()
    };
    assert_eq!(
        check_history(&history),
        [Violation::RevisionRegressed("vm1".into())]
    );
}

#[test]
fn shared_revision() {
    let history = History {
        submissions: vec![accepted("a", 2), accepted("b", 2)],
        ..History::default()
    };
    assert_eq!(check_history(&history), [Violation::SharedRevision(2)]);
}

#[test]
fn late_revision() {
    let history = History {
        submissions: vec![accepted("a", 2)],
        revisions: vec![sample("vm1", 1, 9)],
        survivors: vec!["vm1".into()],
        length: Duration::from_secs(10),
        ..History::default()
    };
    let late = Violation::NotInForce {
        vm: "vm1".into(),
        revision: 2,
    };
    assert_eq!(check_history(&history), [late]);
}

#[test]
fn work_after_leave() {
    let history = History {
        leaves: vec![Leave {
            target: "r1".into(),
            announced: Duration::from_secs(1),
            last_request: Duration::from_secs(5),
        }],
        ..History::default()
    };
    assert_eq!(
        check_history(&history),
        [Violation::WorkAfterLeave("r1".into())]
    );
}
