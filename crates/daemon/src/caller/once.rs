//! Calls of kind once, which run at most once for each idempotency key.

use super::answer::collect_answer;
use super::call::{Call, CallContext, Grant};
use super::headers::{self, IDEMPOTENCY_KEY};
use crate::telemetry::TraceBuilder;
use gentianridge_core::{
    Claim, ClaimState, EventKind, Ledger, LedgerAction, LedgerInput, RecordedAnswer,
    RequestFingerprint, ResultCode, Version,
};
use gentianridge_platform::{
    Condition, RowWrite, StoreError, StoreErrorKind, decode_claim, encode_claim,
};
use http::header;
use rand::RngExt;
use sha2::{Digest, Sha256};
use std::fmt::Write;
use std::sync::atomic::Ordering;
use std::time::Duration;

const TABLE: &str = "once";
/// Longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Largest answer that can be recorded, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Largest body that is kept in the row, in bytes; larger ones go to the object store.
const MAX_INLINE_BYTES: usize = 16 << 10;

/// How a call of kind once ended.
pub(crate) enum OnceOutcome {
    /// The answer of this call.
    Answered(RecordedAnswer),
    /// The recorded answer of an earlier call.
    Replayed(RecordedAnswer),
    /// A refusal.
    Refused(ResultCode),
}

/// Runs one call of kind once.
///
/// The claim is written while the slot is held, right before the request is
/// sent, so a call that is refused without a slot causes no write to the store.
pub(crate) async fn run_once(cx: CallContext, trace: &mut TraceBuilder) -> OnceOutcome {
    let Some(row) = make_row_key(&cx) else {
        return OnceOutcome::Refused(ResultCode::KeyMissing);
    };
    if !cx.fleet.store.is_up() {
        // Nothing was written, so the caller can retry with the same key.
        return OnceOutcome::Refused(ResultCode::StoreUnavailable);
    }
    let mut run = OnceRun {
        ledger: make_ledger(&cx),
        row,
        slot: None,
        cx,
    };
    let outcome = run.drive(trace).await;
    run.release_open_claim();
    outcome
}

struct OnceRun {
    cx: CallContext,
    ledger: Ledger,
    row: String,
    slot: Option<(Call, Grant)>,
}

impl OnceRun {
    async fn drive(&mut self, trace: &mut TraceBuilder) -> OnceOutcome {
        if let Err(code) = self.ensure_slot().await {
            return self.refuse_unclaimed(code).await;
        }
        let mut input = LedgerInput::Begin;
        loop {
            let action = self.step(input);
            input = match action {
                LedgerAction::Dispatch => return self.dispatch(trace).await,
                LedgerAction::Replay(answer) => return self.replay(answer).await,
                LedgerAction::Refuse(code) => return OnceOutcome::Refused(code),
                LedgerAction::Done => return OnceOutcome::Refused(ResultCode::StoreUnavailable),
                other => self.perform(other).await,
            };
        }
    }

    /// Checks the store for an earlier call with the key before a refusal.
    async fn refuse_unclaimed(&mut self, code: ResultCode) -> OnceOutcome {
        let Ok(found) = try_read(&self.cx, &self.row).await else {
            return OnceOutcome::Refused(code);
        };
        match self
            .ledger
            .refuse_unclaimed(code, found.map(|(claim, _)| claim))
        {
            LedgerAction::Replay(answer) => self.replay(answer).await,
            LedgerAction::Refuse(code) => OnceOutcome::Refused(code),
            other => {
                debug_assert!(
                    false,
                    "ledger returned {other:?} instead of an answer or a refusal"
                );
                OnceOutcome::Refused(code)
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
            // or for the call that holds the key.
            self.slot = None;
        }
        perform(&self.cx, &self.row, action).await
    }

    /// Waits for a slot unless one is held.
    async fn ensure_slot(&mut self) -> Result<(), ResultCode> {
        if self.slot.is_none() {
            let mut call = Call::start(&self.cx);
            let grant = call.wait_grant().await?;
            self.slot = Some((call, grant));
        }
        Ok(())
    }

    async fn dispatch(&mut self, trace: &mut TraceBuilder) -> OnceOutcome {
        if let Err(code) = self.ensure_slot().await {
            self.write_outcome(LedgerInput::NotRun);
            return OnceOutcome::Refused(code);
        }
        let Some((call, grant)) = self.slot.take() else {
            self.write_outcome(LedgerInput::NotRun);
            return OnceOutcome::Refused(ResultCode::NoTarget);
        };
        let collected = match call.run(grant, trace).await {
            Ok(delivered) => collect_answer(delivered, self.cx.silence, MAX_ANSWER_BYTES).await,
            Err(code) => Err(code),
        };
        match collected {
            Ok(answer) => {
                self.write_outcome(LedgerInput::Answered(answer.clone()));
                OnceOutcome::Answered(answer)
            }
            Err(code) => self.end_unanswered(code),
        }
    }

    fn end_unanswered(&mut self, code: ResultCode) -> OnceOutcome {
        if code.run_state() == gentianridge_core::RunState::NotRun {
            self.write_outcome(LedgerInput::NotRun);
            return OnceOutcome::Refused(code);
        }
        self.write_outcome(LedgerInput::Lost);
        self.cx.fleet.journal.record(EventKind::OutcomeUnknown {
            request: self.cx.request.head.id.clone(),
        });
        OnceOutcome::Refused(ResultCode::OutcomeUnknown)
    }

    async fn replay(&mut self, mut answer: RecordedAnswer) -> OnceOutcome {
        let Some(object) = &answer.object else {
            return OnceOutcome::Replayed(answer);
        };
        match self.cx.fleet.store.get_object(object).await {
            Ok(Some(body)) => {
                answer.body = body;
                OnceOutcome::Replayed(answer)
            }
            _ => OnceOutcome::Refused(ResultCode::AnswerUnavailable),
        }
    }

    /// Writes the outcome in the background, so that the caller does not wait.
    fn write_outcome(&mut self, input: LedgerInput) {
        let clock = self.cx.fleet.clock.clone();
        let ledger = std::mem::replace(&mut self.ledger, make_ledger(&self.cx));
        let writer = OutcomeWriter {
            cx: self.cx.clone(),
            row: self.row.clone(),
            ledger,
        };
        writer.spawn(move |ledger| ledger.step(clock.now(), clock.wall(), input));
    }

    /// Releases the claim of a refused call whose write may have taken effect.
    fn release_open_claim(self) {
        if !self.ledger.is_open() {
            return;
        }
        let clock = self.cx.fleet.clock.clone();
        let writer = OutcomeWriter {
            cx: self.cx,
            row: self.row,
            ledger: self.ledger,
        };
        writer.spawn(move |ledger| ledger.step(clock.now(), clock.wall(), LedgerInput::Timer));
    }
}

/// Writes the outcome of a claim to the store and retries until it is written.
struct OutcomeWriter {
    cx: CallContext,
    row: String,
    ledger: Ledger,
}

impl OutcomeWriter {
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
        if answer.body.len() <= MAX_INLINE_BYTES {
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

/// Executes an action of the ledger.
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
    let ttl = cx.fleet.get_routes().map(|routes| routes.spec.keep_records);
    let written = RowWrite {
        condition,
        value: encode_claim(claim),
        ttl,
    };
    match cx.fleet.store.write(TABLE, row, written).await {
        Ok(version) => LedgerInput::Written(version),
        Err(error) if error.get_kind() == StoreErrorKind::Conflict => LedgerInput::Conflict,
        Err(error) => LedgerInput::StoreFailed {
            is_open: error.has_unknown_outcome(),
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

/// Builds the row key from service, caller and idempotency key.
///
/// The caller is identified by its credentials, so that no caller can read the
/// answer of another by guessing a key.
fn make_row_key(cx: &CallContext) -> Option<String> {
    let headers = &cx.request.head.headers;
    let key = headers::get_text(headers, &IDEMPOTENCY_KEY)
        .filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES)?;
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
