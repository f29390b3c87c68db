//! Submission of fleet files, and polling of the store for accepted revisions.

use super::Fleet;
use super::shared::wall_millis;
use crate::store::add_jitter;
use gentianridge_api::{SubmitAnswer, SubmitRequest, SubmitVerdict};
use gentianridge_config::{compare_fleets, parse_fleet};
use gentianridge_core::{
    EventKind, RevisionRecord, RevisionUpdate, Submission, SubmissionAction, SubmissionInput,
    Verdict,
};
use gentianridge_platform::{
    Condition, RowWrite, StoreError, StoreErrorKind, decode_revision, encode_revision,
};
use std::sync::Arc;
use std::time::Duration;

const TABLE: &str = "revision";
/// Row with the number of the newest revision; it may lag, but is never ahead.
const NEWEST_KEY: &str = "newest";
/// Time after which a submission without an outcome is reported as unknown.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of accepted revisions kept in the store.
const KEPT_REVISIONS: u64 = 200;
/// Time after which the emptied row of a pruned revision expires.
const PRUNED_ROW_TTL: Duration = Duration::from_secs(60);
/// Largest number of differing lines shown of each file when another
/// submission was accepted first.
const MAX_SHOWN_LINES: usize = 20;

/// Checks all of a submitted file, then submits it to the store.
pub(crate) async fn submit(fleet: &Arc<Fleet>, request: SubmitRequest) -> SubmitAnswer {
    let spec = match parse_fleet(&request.text) {
        Ok(spec) => spec,
        Err(report) => {
            let details = report
                .get_faults()
                .iter()
                .map(ToString::to_string)
                .collect();
            return reject(fleet, &request, SubmitVerdict::Faulty, details);
        }
    };
    catch_up(fleet).await;
    let routes = fleet.get_routes();
    let warnings = compare_fleets(routes.as_deref().map(|routes| &routes.spec), &spec);
    if !warnings.is_empty() && !request.force {
        let details = warnings.iter().map(ToString::to_string).collect();
        return reject(fleet, &request, SubmitVerdict::NeedsForce, details);
    }
    if let Some(answer) = find_accepted(fleet, &request) {
        return answer;
    }
    let verdict = run_submission(fleet, &request).await;
    make_answer(fleet, &request, verdict)
}

/// Returns the answer to a submission that was accepted before and is sent again.
fn find_accepted(fleet: &Fleet, request: &SubmitRequest) -> Option<SubmitAnswer> {
    let current = fleet.get_current_revision()?;
    let is_same = current.record.submission == request.submission;
    is_same.then(|| SubmitAnswer {
        verdict: SubmitVerdict::Accepted,
        submission: request.submission.clone(),
        revision: current.record.number,
        details: Vec::new(),
    })
}

fn reject(
    fleet: &Fleet,
    request: &SubmitRequest,
    verdict: SubmitVerdict,
    details: Vec<String>,
) -> SubmitAnswer {
    fleet.journal.record(EventKind::RevisionRejected {
        submission: request.submission.clone(),
        author: request.author.clone(),
        reason: details
            .first()
            .map(String::as_str)
            .unwrap_or_default()
            .into(),
    });
    SubmitAnswer {
        verdict,
        submission: request.submission.clone(),
        revision: fleet.get_revision(),
        details,
    }
}

/// Runs the submission's steps until its outcome is known or
/// [`SUBMIT_TIMEOUT`] has passed.
async fn run_submission(fleet: &Arc<Fleet>, request: &SubmitRequest) -> Verdict {
    let base = request.base.unwrap_or_else(|| fleet.get_revision());
    let record = RevisionRecord {
        number: base + 1,
        submission: request.submission.clone(),
        author: request.author.clone(),
        submitted_ms: wall_millis(&*fleet.clock),
        text: request.text.clone(),
    };
    let number = record.number;
    let mut submission = Submission::new(record, fleet.clock.now() + SUBMIT_TIMEOUT);
    let mut input = SubmissionInput::Begin;
    loop {
        input = match submission.step(fleet.clock.now(), input) {
            SubmissionAction::Insert(record) => insert(fleet, &record).await,
            SubmissionAction::Read => match read_revision(fleet, number).await {
                Ok(found) => SubmissionInput::Read(found),
                Err(_) => SubmissionInput::StoreFailed { is_open: false },
            },
            SubmissionAction::Wait(pause) => {
                tokio::time::sleep(add_jitter(pause)).await;
                SubmissionInput::Timer
            }
            SubmissionAction::Finish(verdict) => return verdict,
        };
    }
}

async fn insert(fleet: &Fleet, record: &RevisionRecord) -> SubmissionInput {
    let write = RowWrite {
        condition: Condition::Absent,
        value: encode_revision(record),
        ttl: None,
    };
    match fleet
        .store
        .write(TABLE, &get_row_key(record.number), write)
        .await
    {
        Ok(_) => SubmissionInput::Written,
        Err(error) if error.get_kind() == StoreErrorKind::Conflict => SubmissionInput::Conflict,
        Err(error) => SubmissionInput::StoreFailed {
            is_open: error.has_unknown_outcome(),
        },
    }
}

fn make_answer(fleet: &Arc<Fleet>, request: &SubmitRequest, verdict: Verdict) -> SubmitAnswer {
    let (verdict, revision, details) = match verdict {
        Verdict::Accepted(record) => {
            let number = record.number;
            accept(fleet, record);
            (SubmitVerdict::Accepted, number, Vec::new())
        }
        Verdict::Overtaken(record) => {
            let details = describe_overtaking(&record, &request.text);
            fleet.poller_wakeup.notify_one();
            (SubmitVerdict::Overtaken, record.number, details)
        }
        Verdict::StoreUnavailable => (
            SubmitVerdict::StoreUnavailable,
            fleet.get_revision(),
            Vec::new(),
        ),
        Verdict::Unknown => (SubmitVerdict::Unknown, fleet.get_revision(), Vec::new()),
    };
    SubmitAnswer {
        verdict,
        submission: request.submission.clone(),
        revision,
        details,
    }
}

/// Puts an accepted revision in force on this VM, then updates the revision
/// rows in the store.
fn accept(fleet: &Arc<Fleet>, record: RevisionRecord) {
    let number = record.number;
    fleet.journal.record(EventKind::RevisionAccepted {
        revision: number,
        submission: record.submission.clone(),
        author: record.author.clone(),
    });
    fleet.adopt(record, "submission");
    let fleet = fleet.clone();
    tokio::spawn(async move {
        if let Err(error) = update_revision_rows(&fleet, number).await {
            log::debug!("revision rows in the store not updated after revision {number}: {error}");
        }
    });
}

/// Writes the number of the newest revision and prunes the oldest one.
async fn update_revision_rows(fleet: &Fleet, number: u64) -> Result<(), StoreError> {
    let newest = RowWrite {
        condition: Condition::Always,
        value: number.to_string().into_bytes(),
        ttl: None,
    };
    fleet.store.write(TABLE, NEWEST_KEY, newest).await?;
    if number > KEPT_REVISIONS {
        let emptied = RowWrite {
            condition: Condition::Always,
            value: Vec::new(),
            ttl: Some(PRUNED_ROW_TTL),
        };
        let key = get_row_key(number - KEPT_REVISIONS);
        fleet.store.write(TABLE, &key, emptied).await?;
    }
    Ok(())
}

/// Polls the store for newer revisions until the task is dropped.
pub(crate) async fn run_revision_poller(fleet: Arc<Fleet>) {
    loop {
        catch_up(&fleet).await;
        tokio::select! {
            () = tokio::time::sleep(add_jitter(fleet.settings.store_poll)) => {}
            () = fleet.poller_wakeup.notified() => {}
        }
    }
}

/// Adopts the revisions in the store that are newer than the one in force. A VM
/// without a revision starts at the newest one.
async fn catch_up(fleet: &Fleet) {
    if let Err(error) = try_catch_up(fleet).await {
        log::debug!("cannot read revisions from the store: {error}");
    }
}

async fn try_catch_up(fleet: &Fleet) -> Result<(), StoreError> {
    if fleet.get_revision() == 0 {
        skip_to_newest(fleet).await?;
    }
    loop {
        let next = fleet.get_revision() + 1;
        let Some(record) = read_revision(fleet, next).await? else {
            return Ok(());
        };
        if fleet.adopt(record, "store") != RevisionUpdate::Adopted {
            return Ok(());
        }
    }
}

async fn skip_to_newest(fleet: &Fleet) -> Result<(), StoreError> {
    let Some(row) = fleet.store.read(TABLE, NEWEST_KEY).await? else {
        return Ok(());
    };
    let number = std::str::from_utf8(&row.value)
        .ok()
        .and_then(|text| text.parse().ok());
    let Some(number) = number else {
        return Ok(());
    };
    if let Some(record) = read_revision(fleet, number).await? {
        fleet.adopt(record, "store");
    }
    Ok(())
}

async fn read_revision(fleet: &Fleet, number: u64) -> Result<Option<RevisionRecord>, StoreError> {
    match fleet.store.read(TABLE, &get_row_key(number)).await? {
        Some(row) => decode_revision(&row.value).map(Some),
        None => Ok(None),
    }
}

fn get_row_key(number: u64) -> String {
    format!("{number:012}")
}

/// Describes the submission that was accepted first and the lines that differ.
fn describe_overtaking(accepted: &RevisionRecord, text: &str) -> Vec<String> {
    let mut details = vec![format!(
        "revision {} of {} was accepted first (submission {})",
        accepted.number, accepted.author, accepted.submission
    )];
    let only_in = |a: &str, b: &str, label: &str| -> Vec<String> {
        let others: Vec<&str> = b.lines().map(str::trim).collect();
        a.lines()
            .map(str::trim)
            .filter(|line| !line.is_empty() && !others.contains(line))
            .map(|line| format!("{label} {line}"))
            .take(MAX_SHOWN_LINES)
            .collect()
    };
    details.extend(only_in(&accepted.text, text, "theirs:"));
    details.extend(only_in(text, &accepted.text, "yours: "));
    details
}
