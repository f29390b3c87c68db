//! Calls of kind once.

use super::answer::collect_answer;
use super::call::{Call, CallContext, Grant};
use super::headers::{self, IDEMPOTENCY_KEY};
use crate::telemetry::TraceBuilder;
use gentianridge_core::{
    Claim, ClaimState, EventKind, Ledger, LedgerAction, LedgerInput, RecordedAnswer,
    RequestFingerprint, ResultCode, Version,
};
use gentianridge_platform::{
    Condition, StoreError, StoreErrorKind, Written, decode_claim, encode_claim,
};
use http::header;
use rand::RngExt;
use sha2::{Digest, Sha256};
use std::fmt::Write;
use std::sync::atomic::Ordering;
use std::time::Duration;

const TABLE: &str = "once";
/// Longest idempotency key in bytes.
const MAX_KEY: usize = 255;
/// Largest answer that can be recorded.
const MAX_ANSWER: usize = 8 << 20;
/// Largest body that is kept in the row; larger ones go to the object store.
const MAX_INLINE: usize = 16 << 10;

/// How a call of kind once ended.
pub(crate) enum OnceEnd {
    /// The answer of this call.
    Answered(RecordedAnswer),
    /// The recorded answer of an earlier call.
    Replayed(RecordedAnswer),
    /// A refusal.
    Refused(ResultCode),
}

/// Runs one call of kind once.
///
/// The claim is written right before the request leaves, while the slot is
/// held, so a call that is refused for lack of room costs the store nothing.
pub(crate) async fn run_once(cx: CallContext, trace: &mut TraceBuilder) -> OnceEnd {
    let Some(row) = find_row(&cx) else {
        return OnceEnd::Refused(ResultCode::KeyMissing);
    };
    if !cx.fleet.store.is_up() {
        // The row may still be read by a later try; nothing was written.
        return OnceEnd::Refused(ResultCode::StoreUnavailable);
    }
    let mut run = OnceRun {
        ledger: make_ledger(&cx),
        row,
        slot: None,
        cx,
    };
    let end = run.drive(trace).await;
    run.settle();
    end
}

struct OnceRun {
    cx: CallContext,
    ledger: Ledger,
    row: String,
    slot: Option<(Call, Grant)>,
}

impl OnceRun {
    async fn drive(&mut self, trace: &mut TraceBuilder) -> OnceEnd {
        if let Err(code) = self.ensure_slot().await {
            return self.refuse_unclaimed(code).await;
        }
        let mut input = LedgerInput::Begin;
        loop {
            let action = self.step(input);
            input = match action {
                LedgerAction::Dispatch => return self.dispatch(trace).await,
                LedgerAction::Replay(answer) => return self.replay(answer).await,
                LedgerAction::Refuse(code) => return OnceEnd::Refused(code),
                LedgerAction::Done => return OnceEnd::Refused(ResultCode::StoreUnavailable),
                other => self.perform(other).await,
            };
        }
    }

    /// Looks for an earlier call with the key before a refusal.
    async fn refuse_unclaimed(&mut self, code: ResultCode) -> OnceEnd {
        let Ok(found) = try_read(&self.cx, &self.row).await else {
            return OnceEnd::Refused(code);
        };
        match self
            .ledger
            .refuse_unclaimed(code, found.map(|(claim, _)| claim))
        {
            LedgerAction::Replay(answer) => self.replay(answer).await,
            LedgerAction::Refuse(code) => OnceEnd::Refused(code),
            other => {
                debug_assert!(false, "{other:?} is no answer");
                OnceEnd::Refused(code)
            }
        }
    }

    fn step(&mut self, input: LedgerInput) -> LedgerAction {
        let clock = &self.cx.fleet.clock;
        self.ledger.step(clock.now(), clock.wall(), input)
    }

    async fn perform(&mut self, action: LedgerAction) -> LedgerInput {
        if matches!(action, LedgerAction::Wait(_)) {
            // Other calls can use the slot while this one waits for the store
            // or for the holder of the key.
            self.slot = None;
        }
        perform(&self.cx, &self.row, action).await
    }

    /// Waits for a slot unless one is held.
    async fn ensure_slot(&mut self) -> Result<(), ResultCode> {
        if self.slot.is_none() {
            let mut call = Call::open(&self.cx);
            let grant = call.wait_grant().await?;
            self.slot = Some((call, grant));
        }
        Ok(())
    }

    async fn dispatch(&mut self, trace: &mut TraceBuilder) -> OnceEnd {
        if let Err(code) = self.ensure_slot().await {
            self.close(LedgerInput::NotRun);
            return OnceEnd::Refused(code);
        }
        let Some((call, grant)) = self.slot.take() else {
            self.close(LedgerInput::NotRun);
            return OnceEnd::Refused(ResultCode::NoTarget);
        };
        let collected = match call.run(grant, trace).await {
            Ok(delivered) => collect_answer(delivered, self.cx.silence, MAX_ANSWER).await,
            Err(code) => Err(code),
        };
        match collected {
            Ok(answer) => {
                self.close(LedgerInput::Answered(answer.clone()));
                OnceEnd::Answered(answer)
            }
            Err(code) => self.end_unanswered(code),
        }
    }

    fn end_unanswered(&mut self, code: ResultCode) -> OnceEnd {
        if code.run_state() == gentianridge_core::RunState::NotRun {
            self.close(LedgerInput::NotRun);
            return OnceEnd::Refused(code);
        }
        self.close(LedgerInput::Lost);
        self.cx.fleet.journal.record(EventKind::OutcomeUnknown {
            request: self.cx.request.head.id.clone(),
        });
        OnceEnd::Refused(ResultCode::OutcomeUnknown)
    }

    async fn replay(&mut self, mut answer: RecordedAnswer) -> OnceEnd {
        let Some(object) = &answer.object else {
            return OnceEnd::Replayed(answer);
        };
        match self.cx.fleet.store.get_object(object).await {
            Ok(Some(body)) => {
                answer.body = body;
                OnceEnd::Replayed(answer)
            }
            _ => OnceEnd::Refused(ResultCode::AnswerUnavailable),
        }
    }

    /// Writes the outcome in the background, so that the caller does not wait.
    fn close(&mut self, input: LedgerInput) {
        let clock = self.cx.fleet.clock.clone();
        let ledger = std::mem::replace(&mut self.ledger, make_ledger(&self.cx));
        let closing = Closing {
            cx: self.cx.clone(),
            row: self.row.clone(),
            ledger,
        };
        closing.spawn(move |ledger| ledger.step(clock.now(), clock.wall(), input));
    }

    /// Releases a claim whose write may have taken effect after a refusal.
    fn settle(self) {
        if !self.ledger.is_open() {
            return;
        }
        let clock = self.cx.fleet.clock.clone();
        let closing = Closing {
            cx: self.cx,
            row: self.row,
            ledger: self.ledger,
        };
        closing.spawn(move |ledger| ledger.step(clock.now(), clock.wall(), LedgerInput::Timer));
    }
}

/// A claim whose record is being completed.
struct Closing {
    cx: CallContext,
    row: String,
    ledger: Ledger,
}

impl Closing {
    fn spawn(mut self, first: impl FnOnce(&mut Ledger) -> LedgerAction + Send + 'static) {
        self.cx.fleet.open_claims.fetch_add(1, Ordering::AcqRel);
        tokio::spawn(async move {
            let action = first(&mut self.ledger);
            self.run(action).await;
            self.cx.fleet.open_claims.fetch_sub(1, Ordering::AcqRel);
        });
    }

    async fn run(&mut self, mut action: LedgerAction) {
        while action != LedgerAction::Done {
            let input = match action {
                LedgerAction::Refuse(_) => LedgerInput::Timer,
                LedgerAction::Replace(claim, version) => {
                    let claim = self.move_body(claim).await;
                    perform(&self.cx, &self.row, LedgerAction::Replace(claim, version)).await
                }
                other => perform(&self.cx, &self.row, other).await,
            };
            let clock = &self.cx.fleet.clock;
            action = self.ledger.step(clock.now(), clock.wall(), input);
        }
    }

    /// Moves a body that is too large for a row to the object store.
    async fn move_body(&self, mut claim: Claim) -> Claim {
        let ClaimState::Answered(answer) = &mut claim.state else {
            return claim;
        };
        if answer.body.len() <= MAX_INLINE {
            return claim;
        }
        let name = format!("once-{:032x}", claim.token);
        let body = std::mem::take(&mut answer.body);
        let mut pause = Ledger::BACKOFF_START;
        while self
            .cx
            .fleet
            .store
            .put_object(&name, body.clone())
            .await
            .is_err()
        {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(Ledger::BACKOFF_MAX);
        }
        answer.object = Some(name.into());
        claim
    }
}

/// Performs an operation of the ledger on the store.
async fn perform(cx: &CallContext, row: &str, action: LedgerAction) -> LedgerInput {
    match action {
        LedgerAction::Insert(claim) => write(cx, row, Condition::Absent, &claim).await,
        LedgerAction::Replace(claim, version) => {
            write(cx, row, Condition::Matches(version), &claim).await
        }
        LedgerAction::Read => read(cx, row).await,
        LedgerAction::Wait(pause) => {
            tokio::time::sleep(pause).await;
            LedgerInput::Timer
        }
        LedgerAction::Dispatch
        | LedgerAction::Replay(_)
        | LedgerAction::Refuse(_)
        | LedgerAction::Done => LedgerInput::Timer,
    }
}

async fn write(cx: &CallContext, row: &str, condition: Condition, claim: &Claim) -> LedgerInput {
    let keep = cx.fleet.get_routes().map(|routes| routes.spec.keep_records);
    let written = Written {
        condition,
        value: encode_claim(claim),
        keep,
    };
    match cx.fleet.store.write(TABLE, row, written).await {
        Ok(version) => LedgerInput::Written(version),
        Err(error) if error.get_kind() == StoreErrorKind::Conflict => LedgerInput::Conflict,
        Err(error) => LedgerInput::StoreFailed {
            is_open: error.is_open(),
        },
    }
}

async fn read(cx: &CallContext, row: &str) -> LedgerInput {
    match try_read(cx, row).await {
        Ok(found) => LedgerInput::Read(found),
        Err(_) => LedgerInput::StoreFailed { is_open: false },
    }
}

async fn try_read(cx: &CallContext, row: &str) -> Result<Option<(Claim, Version)>, StoreError> {
    match cx.fleet.store.read(TABLE, row).await? {
        Some(found) => Ok(Some((decode_claim(&found.value)?, found.version))),
        None => Ok(None),
    }
}

fn make_ledger(cx: &CallContext) -> Ledger {
    let now = cx.fleet.clock.now();
    let remaining: Duration = cx.deadline.saturating_duration_since(now);
    let (fingerprint, _) = cx
        .request
        .digest
        .split_first_chunk::<16>()
        .unwrap_or((&[0; 16], &[]));
    Ledger::new(
        RequestFingerprint(u128::from_be_bytes(*fingerprint)),
        rand::rng().random(),
        cx.fleet.me.clone(),
        cx.deadline,
        cx.fleet.clock.wall() + remaining,
    )
}

/// Names the row by service, caller and key.
///
/// The caller is known by its credentials, so that no caller can read the
/// answer of another by guessing a key.
fn find_row(cx: &CallContext) -> Option<String> {
    let headers = &cx.request.head.headers;
    let key = headers::get_text(headers, &IDEMPOTENCY_KEY)
        .filter(|key| !key.is_empty() && key.len() <= MAX_KEY)?;
    let caller = headers
        .get(header::AUTHORIZATION)
        .map(|value| value.as_bytes())
        .unwrap_or_default();
    let mut hasher = Sha256::new();
    for part in [cx.service.name.as_bytes(), caller, key.as_bytes()] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut row = String::with_capacity(64);
    for byte in hasher.finalize() {
        // Writing to a string cannot fail.
        let _ = write!(row, "{byte:02x}");
    }
    Some(row)
}
