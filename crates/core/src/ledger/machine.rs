//! State machine of one call of kind once.

use super::{Claim, ClaimState, RecordedAnswer, RequestFingerprint, Version};
use crate::{ResultCode, VmName};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Event from the store, the target or a timer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerInput {
    /// The call is about to be dispatched.
    Begin,
    /// The conditional write took effect.
    Written(Version),
    /// The condition of the write did not hold.
    Conflict,
    /// The row was read; `None` if it does not exist.
    Read(Option<(Claim, Version)>),
    /// The operation of the store failed.
    StoreFailed {
        /// True if the operation may have taken effect.
        is_open: bool,
    },
    /// The time requested by [`LedgerAction::Wait`] has passed.
    Timer,
    /// No target has run the request, and none will.
    NotRun,
    /// A target answered.
    Answered(RecordedAnswer),
    /// The attempt ended and its outcome is unknown.
    Lost,
}

/// Action that the process has to take next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerAction {
    /// Write the claim if no row exists.
    Insert(Claim),
    /// Write the claim if the row still has the version.
    Replace(Claim, Version),
    /// Read the row.
    Read,
    /// Send the request to a target now.
    Dispatch,
    /// Answer with the recorded answer.
    Replay(RecordedAnswer),
    /// Answer with a refusal. The machine is finished unless
    /// [`Ledger::is_open`] returns true; then a claim remains to be released.
    Refuse(ResultCode),
    /// Pass in [`LedgerInput::Timer`] after the time.
    Wait(Duration),
    /// Nothing remains to be done.
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    New,
    /// A write of the claim is in progress.
    Claiming,
    /// The row is read to find the holder of the claim.
    Reading,
    /// This call holds the claim; the request may have been sent.
    Held(Version),
    /// The final record is being written.
    Closing(Version),
    /// The row is read because a closing write may or may not have taken effect.
    Checking,
    /// The call was refused while its own claim may still exist.
    Releasing,
    Finished,
}

/// State machine that claims, dispatches and records one call of kind once.
///
/// The machine dispatches at most once, and only after the store has confirmed
/// its own claim.
#[derive(Debug)]
pub struct Ledger {
    claim: Claim,
    deadline: Instant,
    state: State,
    /// True while a write of this call may have taken effect unconfirmed.
    is_open: bool,
    backoff: Duration,
}

impl Ledger {
    /// First pause after a failure of the store.
    pub const BACKOFF_START: Duration = Duration::from_millis(20);
    /// Longest pause after a failure of the store.
    pub const BACKOFF_MAX: Duration = Duration::from_secs(2);
    /// Pause between two reads of a claim that another call holds.
    pub const WATCH_INTERVAL: Duration = Duration::from_millis(50);
    /// Time that has to remain until the deadline for a dispatch.
    pub const MIN_REMAINING: Duration = Duration::from_millis(1);
    /// Time after a claim's deadline after which its holder counts as failed.
    pub const HOLDER_GRACE: Duration = Duration::from_secs(5);

    /// Creates the machine of one call.
    ///
    /// `token` has to be unique among all claims ever made. `wall_deadline` is
    /// the `deadline` of the call in wall time.
    pub fn new(
        fingerprint: RequestFingerprint,
        token: u128,
        vm: VmName,
        deadline: Instant,
        wall_deadline: SystemTime,
    ) -> Self {
        let claim = Claim {
            fingerprint,
            token,
            vm,
            deadline_ms: millis_of(wall_deadline),
            state: ClaimState::Running,
        };
        Self {
            claim,
            deadline,
            state: State::New,
            is_open: false,
            backoff: Self::BACKOFF_START,
        }
    }

    /// Returns true if a claim of this call may exist that has not been closed.
    pub fn is_open(&self) -> bool {
        self.is_open
            || matches!(
                self.state,
                State::Held(_) | State::Closing(_) | State::Checking
            )
    }

    /// Applies an input and returns the next action.
    pub fn step(&mut self, now: Instant, wall: SystemTime, input: LedgerInput) -> LedgerAction {
        match self.state {
            State::New => self.insert(),
            State::Claiming => self.step_claiming(now, &input),
            State::Reading => self.step_reading(now, wall, input),
            State::Held(version) => self.step_held(version, input),
            State::Closing(version) => self.step_closing(version, &input),
            State::Checking => self.step_checking(input),
            State::Releasing => self.step_releasing(input),
            State::Finished => LedgerAction::Done,
        }
    }

    /// Returns the answer to a call that found no slot and made no claim.
    ///
    /// An earlier call with the key may have run. A refusal that states that the
    /// request did not run would then be wrong.
    pub fn refuse_unclaimed(&self, code: ResultCode, found: Option<Claim>) -> LedgerAction {
        let Some(claim) = found else {
            return LedgerAction::Refuse(code);
        };
        if claim.fingerprint != self.claim.fingerprint {
            return LedgerAction::Refuse(ResultCode::KeyReused);
        }
        match claim.state {
            ClaimState::Answered(answer) => LedgerAction::Replay(answer),
            ClaimState::NotRun => LedgerAction::Refuse(code),
            ClaimState::Unknown => LedgerAction::Refuse(ResultCode::OutcomeUnknown),
            ClaimState::Running => LedgerAction::Refuse(ResultCode::KeyRunning),
        }
    }

    fn insert(&mut self) -> LedgerAction {
        self.state = State::Claiming;
        LedgerAction::Insert(self.claim.clone())
    }

    fn read(&mut self) -> LedgerAction {
        self.state = State::Reading;
        LedgerAction::Read
    }

    fn step_claiming(&mut self, now: Instant, input: &LedgerInput) -> LedgerAction {
        match input {
            LedgerInput::Written(version) => self.hold(now, *version),
            LedgerInput::Conflict => self.read(),
            LedgerInput::StoreFailed { is_open: false } if !self.is_open => {
                self.refuse(ResultCode::StoreUnavailable)
            }
            LedgerInput::StoreFailed { is_open } => {
                self.is_open |= *is_open;
                self.retry_read(now)
            }
            _ => LedgerAction::Wait(self.backoff),
        }
    }

    fn step_reading(&mut self, now: Instant, wall: SystemTime, input: LedgerInput) -> LedgerAction {
        match input {
            LedgerInput::Timer => LedgerAction::Read,
            LedgerInput::Read(None) if self.has_time(now) => self.insert(),
            LedgerInput::Read(None) => self.refuse(ResultCode::DeadlinePassed),
            LedgerInput::Read(Some((claim, version))) if claim.token == self.claim.token => {
                self.hold(now, version)
            }
            LedgerInput::Read(Some((claim, version))) => {
                self.is_open = false;
                self.step_foreign_claim(now, wall, claim, version)
            }
            LedgerInput::StoreFailed { .. } => self.retry_read(now),
            _ => LedgerAction::Wait(self.backoff),
        }
    }

    /// Decides how to proceed after reading the claim of another call.
    fn step_foreign_claim(
        &mut self,
        now: Instant,
        wall: SystemTime,
        claim: Claim,
        version: Version,
    ) -> LedgerAction {
        if claim.fingerprint != self.claim.fingerprint {
            return self.refuse(ResultCode::KeyReused);
        }
        match claim.state {
            ClaimState::Answered(answer) => {
                self.state = State::Finished;
                LedgerAction::Replay(answer)
            }
            ClaimState::NotRun => {
                self.state = State::Claiming;
                LedgerAction::Replace(self.claim.clone(), version)
            }
            ClaimState::Unknown => self.refuse(ResultCode::OutcomeUnknown),
            ClaimState::Running => self.watch(now, wall, claim.deadline_ms),
        }
    }

    fn watch(&mut self, now: Instant, wall: SystemTime, holder_deadline_ms: u64) -> LedgerAction {
        let lost_at = holder_deadline_ms.saturating_add(Self::HOLDER_GRACE.as_millis() as u64);
        if millis_of(wall) > lost_at {
            return self.refuse(ResultCode::OutcomeUnknown);
        }
        if now + Self::WATCH_INTERVAL >= self.deadline {
            return self.refuse(ResultCode::KeyRunning);
        }
        LedgerAction::Wait(Self::WATCH_INTERVAL)
    }

    fn retry_read(&mut self, now: Instant) -> LedgerAction {
        if now + self.backoff >= self.deadline {
            let code = if self.is_open || self.state == State::Claiming {
                ResultCode::StoreUnavailable
            } else {
                ResultCode::AnswerUnavailable
            };
            return self.refuse(code);
        }
        self.state = State::Reading;
        self.pause()
    }

    fn hold(&mut self, now: Instant, version: Version) -> LedgerAction {
        self.is_open = false;
        self.backoff = Self::BACKOFF_START;
        if !self.has_time(now) {
            self.claim.state = ClaimState::NotRun;
            self.state = State::Closing(version);
            return LedgerAction::Refuse(ResultCode::DeadlinePassed);
        }
        self.state = State::Held(version);
        LedgerAction::Dispatch
    }

    fn step_held(&mut self, version: Version, input: LedgerInput) -> LedgerAction {
        self.claim.state = match input {
            LedgerInput::NotRun => ClaimState::NotRun,
            LedgerInput::Answered(answer) => ClaimState::Answered(answer),
            LedgerInput::Lost => ClaimState::Unknown,
            _ => return LedgerAction::Wait(Self::WATCH_INTERVAL),
        };
        self.close(version)
    }

    fn close(&mut self, version: Version) -> LedgerAction {
        self.state = State::Closing(version);
        LedgerAction::Replace(self.claim.clone(), version)
    }

    fn step_closing(&mut self, version: Version, input: &LedgerInput) -> LedgerAction {
        match input {
            LedgerInput::Written(_) => self.finish(),
            LedgerInput::Conflict => {
                self.state = State::Checking;
                LedgerAction::Read
            }
            LedgerInput::StoreFailed { .. } => self.pause(),
            _ => self.close(version),
        }
    }

    fn step_checking(&mut self, input: LedgerInput) -> LedgerAction {
        match input {
            LedgerInput::Read(Some((claim, version)))
                if claim.token == self.claim.token && claim.state == ClaimState::Running =>
            {
                self.close(version)
            }
            LedgerInput::Read(_) => self.finish(),
            LedgerInput::StoreFailed { .. } => self.pause(),
            _ => LedgerAction::Read,
        }
    }

    fn step_releasing(&mut self, input: LedgerInput) -> LedgerAction {
        match input {
            LedgerInput::Read(Some((claim, version)))
                if claim.token == self.claim.token && claim.state == ClaimState::Running =>
            {
                self.claim.state = ClaimState::NotRun;
                self.close(version)
            }
            LedgerInput::Read(_) => self.finish(),
            LedgerInput::StoreFailed { .. } => self.pause(),
            _ => LedgerAction::Read,
        }
    }

    fn refuse(&mut self, code: ResultCode) -> LedgerAction {
        self.state = if self.is_open {
            State::Releasing
        } else {
            State::Finished
        };
        LedgerAction::Refuse(code)
    }

    fn finish(&mut self) -> LedgerAction {
        self.is_open = false;
        self.state = State::Finished;
        LedgerAction::Done
    }

    fn pause(&mut self) -> LedgerAction {
        let pause = self.backoff;
        self.backoff = (self.backoff * 2).min(Self::BACKOFF_MAX);
        LedgerAction::Wait(pause)
    }

    fn has_time(&self, now: Instant) -> bool {
        now + Self::MIN_REMAINING < self.deadline
    }
}

fn millis_of(wall: SystemTime) -> u64 {
    wall.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
