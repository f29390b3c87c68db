//! Submission of configuration files, and the choice of the newest revision.

use gentianridge_core::{
    RevisionLog, RevisionRecord, RevisionUpdate, Submission, SubmissionAction, SubmissionInput,
    Verdict,
};
use proptest::prelude::*;
use std::time::{Duration, Instant};

fn make_record(number: u64, submission: &str) -> RevisionRecord {
    RevisionRecord {
        number,
        submission: submission.into(),
        author: "ada".into(),
        submitted_ms: 0,
        text: String::new(),
    }
}

#[test]
fn newest_revision_kept() {
    let mut log = RevisionLog::new();
    assert_eq!(log.offer(make_record(3, "c")), RevisionUpdate::Adopted);
    assert_eq!(log.offer(make_record(2, "b")), RevisionUpdate::Older);
    assert_eq!(log.offer(make_record(3, "c")), RevisionUpdate::Same);
    assert_eq!(log.offer(make_record(3, "x")), RevisionUpdate::Conflicting);
    assert_eq!(log.get_current(), Some(&make_record(3, "c")));
}

#[test]
fn submission_accepted() {
    let now = Instant::now();
    let mut submission = Submission::new(make_record(4, "mine"), now + Duration::from_secs(5));
    let action = submission.step(now, SubmissionInput::Begin);
    assert_eq!(action, SubmissionAction::Insert(make_record(4, "mine")));
    let action = submission.step(now, SubmissionInput::Written);
    assert_eq!(
        action,
        SubmissionAction::Finish(Verdict::Accepted(make_record(4, "mine")))
    );
}

#[test]
fn submission_overtaken() {
    let now = Instant::now();
    let mut submission = Submission::new(make_record(4, "mine"), now + Duration::from_secs(5));
    submission.step(now, SubmissionInput::Begin);
    assert_eq!(
        submission.step(now, SubmissionInput::Conflict),
        SubmissionAction::Read
    );
    let action = submission.step(now, SubmissionInput::Read(Some(make_record(4, "theirs"))));
    assert_eq!(
        action,
        SubmissionAction::Finish(Verdict::Overtaken(make_record(4, "theirs")))
    );
}

#[test]
fn lost_reply_read() {
    let now = Instant::now();
    let mut submission = Submission::new(make_record(4, "mine"), now + Duration::from_secs(5));
    submission.step(now, SubmissionInput::Begin);
    let action = submission.step(now, SubmissionInput::StoreFailed { is_open: true });
    assert!(matches!(action, SubmissionAction::Wait(_)));
    assert_eq!(
        submission.step(now, SubmissionInput::Timer),
        SubmissionAction::Read
    );
    let action = submission.step(now, SubmissionInput::Read(Some(make_record(4, "mine"))));
    assert_eq!(
        action,
        SubmissionAction::Finish(Verdict::Accepted(make_record(4, "mine")))
    );
}

#[test]
fn unknown_outcome() {
    let now = Instant::now();
    let late = now + Duration::from_secs(6);
    let mut open = Submission::new(make_record(4, "mine"), now + Duration::from_secs(5));
    open.step(now, SubmissionInput::Begin);
    open.step(now, SubmissionInput::StoreFailed { is_open: true });
    let action = open.step(late, SubmissionInput::StoreFailed { is_open: false });
    assert_eq!(action, SubmissionAction::Finish(Verdict::Unknown));
    let mut refused = Submission::new(make_record(4, "mine"), now + Duration::from_secs(5));
    refused.step(now, SubmissionInput::Begin);
    let action = refused.step(late, SubmissionInput::StoreFailed { is_open: false });
    assert_eq!(action, SubmissionAction::Finish(Verdict::StoreUnavailable));
}

proptest! {
    #[test]
    fn number_never_decreases(offers in prop::collection::vec((1_u64..20, "[a-c]"), 1..60)) {
        let mut log = RevisionLog::new();
        let mut highest = 0;
        for (number, submission) in offers {
            log.offer(make_record(number, &submission));
            prop_assert!(log.get_number() >= highest);
            highest = highest.max(number);
            prop_assert_eq!(log.get_number(), highest);
        }
    }
}
