//! Once-only requests: single steps of the ledger, and many callers of one key in any order.

use gentianridge_core::{
    Claim, ClaimState, Ledger, LedgerAction, LedgerInput, RecordedAnswer, RequestFingerprint,
    ResultCode, RunState, Version,
};
use proptest::prelude::*;
use std::time::{Duration, Instant, SystemTime};

const FINGERPRINT: RequestFingerprint = RequestFingerprint(7);

fn make_ledger(token: u128, now: Instant, wall: SystemTime) -> Ledger {
    let deadline = Duration::from_secs(2);
    Ledger::new(
        FINGERPRINT,
        token,
        "vm".into(),
        now + deadline,
        wall + deadline,
    )
}

fn make_answer() -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        headers: Vec::new(),
        body: b"done".to_vec(),
        object: None,
    }
}

fn get_claim(action: &LedgerAction) -> Claim {
    match action {
        LedgerAction::Insert(claim) | LedgerAction::Replace(claim, _) => claim.clone(),
        other => panic!("{other:?} does not write a claim"),
    }
}

/// The ledger of one request with its clocks.
struct Harness {
    ledger: Ledger,
    now: Instant,
    wall: SystemTime,
}

impl Harness {
    fn new(token: u128) -> Self {
        let (now, wall) = (Instant::now(), SystemTime::now());
        Self {
            ledger: make_ledger(token, now, wall),
            now,
            wall,
        }
    }

    fn step(&mut self, input: LedgerInput) -> LedgerAction {
        self.ledger.step(self.now, self.wall, input)
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.wall += time;
    }

    fn make_foreign(&self, state: ClaimState) -> Claim {
        Claim {
            fingerprint: FINGERPRINT,
            token: 99,
            vm: "other".into(),
            deadline_ms: self
                .wall
                .duration_since(SystemTime::UNIX_EPOCH)
                .expect("after the epoch")
                .as_millis() as u64
                + 2_000,
            state,
        }
    }

    fn read_foreign(&mut self, state: ClaimState) -> LedgerAction {
        self.step(LedgerInput::Begin);
        assert_eq!(self.step(LedgerInput::Conflict), LedgerAction::Read);
        let claim = self.make_foreign(state);
        self.step(LedgerInput::Read(Some((claim, Version(3)))))
    }
}

#[test]
fn uncontended_run() {
    let mut harness = Harness::new(1);
    let claim = get_claim(&harness.step(LedgerInput::Begin));
    assert_eq!(claim.state, ClaimState::Running);
    assert_eq!(
        harness.step(LedgerInput::Written(Version(1))),
        LedgerAction::Dispatch
    );
    let closing = harness.step(LedgerInput::Answered(make_answer()));
    assert_eq!(
        get_claim(&closing).state,
        ClaimState::Answered(make_answer())
    );
    assert_eq!(
        harness.step(LedgerInput::Written(Version(2))),
        LedgerAction::Done
    );
}

#[test]
fn recorded_answer_replayed() {
    let mut harness = Harness::new(1);
    assert_eq!(
        harness.read_foreign(ClaimState::Answered(make_answer())),
        LedgerAction::Replay(make_answer())
    );
}

#[test]
fn reused_key_refused() {
    let mut harness = Harness::new(1);
    harness.step(LedgerInput::Begin);
    harness.step(LedgerInput::Conflict);
    let mut claim = harness.make_foreign(ClaimState::Running);
    claim.fingerprint = RequestFingerprint(8);
    let action = harness.step(LedgerInput::Read(Some((claim, Version(3)))));
    assert_eq!(action, LedgerAction::Refuse(ResultCode::KeyReused));
}

#[test]
fn running_elsewhere() {
    let mut harness = Harness::new(1);
    assert!(matches!(
        harness.read_foreign(ClaimState::Running),
        LedgerAction::Wait(_)
    ));
    harness.advance(Duration::from_millis(1_990));
    assert_eq!(harness.step(LedgerInput::Timer), LedgerAction::Read);
    let claim = harness.make_foreign(ClaimState::Running);
    let action = harness.step(LedgerInput::Read(Some((claim, Version(3)))));
    assert_eq!(action, LedgerAction::Refuse(ResultCode::KeyRunning));
}

/// Guards against a deadline in a row that no later time can follow.
#[test]
fn deadline_beyond_time() {
    let mut harness = Harness::new(1);
    let mut claim = harness.make_foreign(ClaimState::Running);
    claim.deadline_ms = u64::MAX;
    harness.step(LedgerInput::Begin);
    harness.step(LedgerInput::Conflict);
    let action = harness.step(LedgerInput::Read(Some((claim, Version(3)))));
    assert!(matches!(action, LedgerAction::Wait(_)), "{action:?}");
}

#[test]
fn expired_claim() {
    let mut harness = Harness::new(1);
    let mut claim = harness.make_foreign(ClaimState::Running);
    claim.deadline_ms = 1_000;
    harness.step(LedgerInput::Begin);
    harness.step(LedgerInput::Conflict);
    let action = harness.step(LedgerInput::Read(Some((claim, Version(3)))));
    assert_eq!(action, LedgerAction::Refuse(ResultCode::OutcomeUnknown));
}

#[test]
fn released_claim() {
    let mut harness = Harness::new(1);
    let action = harness.read_foreign(ClaimState::NotRun);
    assert!(matches!(action, LedgerAction::Replace(_, Version(3))));
    assert_eq!(
        harness.step(LedgerInput::Written(Version(4))),
        LedgerAction::Dispatch
    );
}

#[test]
fn lost_reply() {
    let mut harness = Harness::new(1);
    let claim = get_claim(&harness.step(LedgerInput::Begin));
    let action = harness.step(LedgerInput::StoreFailed { is_open: true });
    assert!(
        matches!(action, LedgerAction::Wait(_)),
        "nothing is dispatched while the claim is open"
    );
    assert_eq!(harness.step(LedgerInput::Timer), LedgerAction::Read);
    let action = harness.step(LedgerInput::Read(Some((claim, Version(1)))));
    assert_eq!(action, LedgerAction::Dispatch);
}

#[test]
fn store_down_refused() {
    let mut harness = Harness::new(1);
    harness.step(LedgerInput::Begin);
    let action = harness.step(LedgerInput::StoreFailed { is_open: false });
    assert_eq!(action, LedgerAction::Refuse(ResultCode::StoreUnavailable));
    assert!(!harness.ledger.is_open());
}

#[test]
fn open_claim_released() {
    let mut harness = Harness::new(1);
    let claim = get_claim(&harness.step(LedgerInput::Begin));
    harness.step(LedgerInput::StoreFailed { is_open: true });
    harness.advance(Duration::from_secs(3));
    harness.step(LedgerInput::Timer);
    let action = harness.step(LedgerInput::StoreFailed { is_open: false });
    assert_eq!(action, LedgerAction::Refuse(ResultCode::StoreUnavailable));
    assert!(harness.ledger.is_open(), "the store may hold the claim");
    assert_eq!(harness.step(LedgerInput::Timer), LedgerAction::Read);
    let action = harness.step(LedgerInput::Read(Some((claim, Version(1)))));
    assert_eq!(get_claim(&action).state, ClaimState::NotRun);
    assert_eq!(
        harness.step(LedgerInput::Written(Version(2))),
        LedgerAction::Done
    );
}

#[test]
fn paused_holder() {
    let mut harness = Harness::new(1);
    harness.step(LedgerInput::Begin);
    harness.advance(Duration::from_secs(60));
    let action = harness.step(LedgerInput::Written(Version(1)));
    assert_eq!(action, LedgerAction::Refuse(ResultCode::DeadlinePassed));
    let closing = harness.step(LedgerInput::Timer);
    assert_eq!(
        get_claim(&closing).state,
        ClaimState::NotRun,
        "the claim is released"
    );
}

#[test]
fn unclaimed_refusal() {
    let harness = Harness::new(1);
    let code = ResultCode::QueueFull;
    let refuse = |found| harness.ledger.refuse_unclaimed(code, found);
    assert_eq!(refuse(None), LedgerAction::Refuse(code));
    let answered = harness.make_foreign(ClaimState::Answered(make_answer()));
    assert_eq!(refuse(Some(answered)), LedgerAction::Replay(make_answer()));
    let running = harness.make_foreign(ClaimState::Running);
    assert_eq!(
        refuse(Some(running)),
        LedgerAction::Refuse(ResultCode::KeyRunning)
    );
    let unknown = harness.make_foreign(ClaimState::Unknown);
    assert_eq!(
        refuse(Some(unknown)),
        LedgerAction::Refuse(ResultCode::OutcomeUnknown)
    );
}

#[test]
fn closing_retried() {
    let mut harness = Harness::new(1);
    harness.step(LedgerInput::Begin);
    harness.step(LedgerInput::Written(Version(1)));
    harness.step(LedgerInput::Answered(make_answer()));
    for _ in 0..20 {
        let action = harness.step(LedgerInput::StoreFailed { is_open: false });
        assert!(matches!(action, LedgerAction::Wait(_)));
        let again = harness.step(LedgerInput::Timer);
        assert_eq!(get_claim(&again).state, ClaimState::Answered(make_answer()));
    }
    assert_eq!(
        harness.step(LedgerInput::Written(Version(2))),
        LedgerAction::Done
    );
}

/// Callers of one key, the row in the store and the number of runs.
struct Simulation {
    row: Option<(Claim, Version)>,
    version: u64,
    callers: Vec<Caller>,
    runs: u32,
}

struct Caller {
    ledger: Ledger,
    now: Instant,
    wall: SystemTime,
    pending: LedgerAction,
    has_run: bool,
    refused_not_run: bool,
    is_finished: bool,
}

/// Simulated outcome of one pending action of one caller.
#[derive(Debug, Clone, Copy)]
enum StepOutcome {
    Success,
    ReplyLost,
    Refused,
    NotRun,
    AnswerLost,
}

impl Simulation {
    fn new(callers: usize) -> Self {
        let (now, wall) = (Instant::now(), SystemTime::now());
        let callers = (0..callers)
            .map(|token| {
                let mut ledger = make_ledger(token as u128, now, wall);
                let pending = ledger.step(now, wall, LedgerInput::Begin);
                Caller {
                    ledger,
                    now,
                    wall,
                    pending,
                    has_run: false,
                    refused_not_run: false,
                    is_finished: false,
                }
            })
            .collect();
        Self {
            row: None,
            version: 0,
            callers,
            runs: 0,
        }
    }

    fn write(
        &mut self,
        claim: Claim,
        condition: Option<Version>,
        outcome: StepOutcome,
    ) -> LedgerInput {
        if matches!(outcome, StepOutcome::Refused) {
            return LedgerInput::StoreFailed { is_open: false };
        }
        if self.row.as_ref().map(|(_, version)| *version) != condition {
            return LedgerInput::Conflict;
        }
        self.version += 1;
        self.row = Some((claim, Version(self.version)));
        match outcome {
            StepOutcome::ReplyLost => LedgerInput::StoreFailed { is_open: true },
            _ => LedgerInput::Written(Version(self.version)),
        }
    }

    fn run_action(&mut self, index: usize, outcome: StepOutcome, pause: Duration) {
        let index = index % self.callers.len();
        if self.callers[index].is_finished {
            return;
        }
        let pending = self.callers[index].pending.clone();
        let input = match pending {
            LedgerAction::Insert(claim) => self.write(claim, None, outcome),
            LedgerAction::Replace(claim, version) => self.write(claim, Some(version), outcome),
            LedgerAction::Read
                if matches!(outcome, StepOutcome::Refused | StepOutcome::ReplyLost) =>
            {
                LedgerInput::StoreFailed { is_open: false }
            }
            LedgerAction::Read => LedgerInput::Read(self.row.clone()),
            LedgerAction::Wait(_) => LedgerInput::Timer,
            LedgerAction::Dispatch => self.dispatch(index, outcome),
            LedgerAction::Refuse(code) => {
                self.callers[index].refused_not_run |= code.run_state() == RunState::NotRun;
                LedgerInput::Timer
            }
            LedgerAction::Replay(_) | LedgerAction::Done => {
                self.callers[index].is_finished = true;
                return;
            }
        };
        let caller = &mut self.callers[index];
        caller.now += pause;
        caller.wall += pause;
        caller.pending = caller.ledger.step(caller.now, caller.wall, input);
        if matches!(caller.pending, LedgerAction::Refuse(_)) && !caller.ledger.is_open() {
            let code = match caller.pending {
                LedgerAction::Refuse(code) => code,
                _ => unreachable!("just matched"),
            };
            caller.refused_not_run |= code.run_state() == RunState::NotRun;
            caller.is_finished = true;
        }
    }

    fn dispatch(&mut self, index: usize, outcome: StepOutcome) -> LedgerInput {
        let caller = &mut self.callers[index];
        assert!(!caller.has_run, "one claim was dispatched twice");
        assert!(
            !caller.refused_not_run,
            "a claim ran after it was refused as not run"
        );
        match outcome {
            StepOutcome::NotRun | StepOutcome::Refused => LedgerInput::NotRun,
            StepOutcome::AnswerLost | StepOutcome::ReplyLost => {
                caller.has_run = true;
                self.runs += 1;
                LedgerInput::Lost
            }
            StepOutcome::Success => {
                caller.has_run = true;
                self.runs += 1;
                LedgerInput::Answered(make_answer())
            }
        }
    }
}

fn any_outcome() -> impl Strategy<Value = StepOutcome> {
    prop_oneof![
        5 => Just(StepOutcome::Success),
        2 => Just(StepOutcome::ReplyLost),
        2 => Just(StepOutcome::Refused),
        1 => Just(StepOutcome::NotRun),
        1 => Just(StepOutcome::AnswerLost),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn one_run(
        callers in 1_usize..5,
        steps in prop::collection::vec((any::<usize>(), any_outcome(), 0_u64..400), 1..200),
    ) {
        let mut simulation = Simulation::new(callers);
        for (index, outcome, pause) in steps {
            simulation.run_action(index, outcome, Duration::from_millis(pause));
            prop_assert!(simulation.runs <= 1, "{} runs of one key", simulation.runs);
        }
    }
}
