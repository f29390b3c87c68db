//! Once-only work: single steps, and many callers of one key in any order.

use gentianridge_core::{
    Claim, ClaimState, Ledger, LedgerAction, LedgerInput, RecordedAnswer, RequestFingerprint,
    ResultCode, RunState, Version,
};
use proptest::prelude::*;
use std::time::{Duration, Instant, SystemTime};

const PRINT: RequestFingerprint = RequestFingerprint(7);

fn make_ledger(token: u128, now: Instant, wall: SystemTime) -> Ledger {
    let deadline = Duration::from_secs(2);
    Ledger::new(PRINT, token, "vm".into(), now + deadline, wall + deadline)
}

fn answer() -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        headers: Vec::new(),
        body: b"done".to_vec(),
        object: None,
    }
}

fn claim_of(action: &LedgerAction) -> Claim {
    match action {
        LedgerAction::Insert(claim) | LedgerAction::Replace(claim, _) => claim.clone(),
        other => panic!("{other:?} writes nothing"),
    }
}

/// One machine with its clocks.
struct Bench {
    ledger: Ledger,
    now: Instant,
    wall: SystemTime,
}

impl Bench {
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

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.wall += time;
    }

    fn foreign(&self, state: ClaimState) -> Claim {
        Claim {
            fingerprint: PRINT,
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

    fn meet(&mut self, state: ClaimState) -> LedgerAction {
        self.step(LedgerInput::Begin);
        assert_eq!(self.step(LedgerInput::Conflict), LedgerAction::Read);
        let claim = self.foreign(state);
        self.step(LedgerInput::Read(Some((claim, Version(3)))))
    }
}

#[test]
fn plain_run() {
    let mut bench = Bench::new(1);
    let claim = claim_of(&bench.step(LedgerInput::Begin));
    assert_eq!(claim.state, ClaimState::Running);
    assert_eq!(
        bench.step(LedgerInput::Written(Version(1))),
        LedgerAction::Dispatch
    );
    let closing = bench.step(LedgerInput::Answered(answer()));
    assert_eq!(claim_of(&closing).state, ClaimState::Answered(answer()));
    assert_eq!(
        bench.step(LedgerInput::Written(Version(2))),
        LedgerAction::Done
    );
}

#[test]
fn recorded_answer() {
    let mut bench = Bench::new(1);
    assert_eq!(
        bench.meet(ClaimState::Answered(answer())),
        LedgerAction::Replay(answer())
    );
}

#[test]
fn reused_key() {
    let mut bench = Bench::new(1);
    bench.step(LedgerInput::Begin);
    bench.step(LedgerInput::Conflict);
    let mut claim = bench.foreign(ClaimState::Running);
    claim.fingerprint = RequestFingerprint(8);
    let action = bench.step(LedgerInput::Read(Some((claim, Version(3)))));
    assert_eq!(action, LedgerAction::Refuse(ResultCode::KeyReused));
}

#[test]
fn running_elsewhere() {
    let mut bench = Bench::new(1);
    assert!(matches!(
        bench.meet(ClaimState::Running),
        LedgerAction::Wait(_)
    ));
    bench.pass(Duration::from_millis(1_990));
    assert_eq!(bench.step(LedgerInput::Timer), LedgerAction::Read);
    let claim = bench.foreign(ClaimState::Running);
    let action = bench.step(LedgerInput::Read(Some((claim, Version(3)))));
    assert_eq!(action, LedgerAction::Refuse(ResultCode::KeyRunning));
}

#[test]
fn lost_holder() {
    let mut bench = Bench::new(1);
    let mut claim = bench.foreign(ClaimState::Running);
    claim.deadline_ms = 1_000;
    bench.step(LedgerInput::Begin);
    bench.step(LedgerInput::Conflict);
    let action = bench.step(LedgerInput::Read(Some((claim, Version(3)))));
    assert_eq!(action, LedgerAction::Refuse(ResultCode::OutcomeUnknown));
}

#[test]
fn released_claim() {
    let mut bench = Bench::new(1);
    let action = bench.meet(ClaimState::NotRun);
    assert!(matches!(action, LedgerAction::Replace(_, Version(3))));
    assert_eq!(
        bench.step(LedgerInput::Written(Version(4))),
        LedgerAction::Dispatch
    );
}

#[test]
fn lost_reply() {
    let mut bench = Bench::new(1);
    let claim = claim_of(&bench.step(LedgerInput::Begin));
    let action = bench.step(LedgerInput::StoreFailed { is_open: true });
    assert!(
        matches!(action, LedgerAction::Wait(_)),
        "nothing is dispatched while the claim is open"
    );
    assert_eq!(bench.step(LedgerInput::Timer), LedgerAction::Read);
    let action = bench.step(LedgerInput::Read(Some((claim, Version(1)))));
    assert_eq!(action, LedgerAction::Dispatch);
}

#[test]
fn store_down() {
    let mut bench = Bench::new(1);
    bench.step(LedgerInput::Begin);
    let action = bench.step(LedgerInput::StoreFailed { is_open: false });
    assert_eq!(action, LedgerAction::Refuse(ResultCode::StoreUnavailable));
    assert!(!bench.ledger.is_open());
}

#[test]
fn open_claim_released() {
    let mut bench = Bench::new(1);
    let claim = claim_of(&bench.step(LedgerInput::Begin));
    bench.step(LedgerInput::StoreFailed { is_open: true });
    bench.pass(Duration::from_secs(3));
    bench.step(LedgerInput::Timer);
    let action = bench.step(LedgerInput::StoreFailed { is_open: false });
    assert_eq!(action, LedgerAction::Refuse(ResultCode::StoreUnavailable));
    assert!(bench.ledger.is_open(), "the claim may stand in the store");
    assert_eq!(bench.step(LedgerInput::Timer), LedgerAction::Read);
    let action = bench.step(LedgerInput::Read(Some((claim, Version(1)))));
    assert_eq!(claim_of(&action).state, ClaimState::NotRun);
    assert_eq!(
        bench.step(LedgerInput::Written(Version(2))),
        LedgerAction::Done
    );
}

#[test]
fn paused_holder() {
    let mut bench = Bench::new(1);
    bench.step(LedgerInput::Begin);
    bench.pass(Duration::from_secs(60));
    let action = bench.step(LedgerInput::Written(Version(1)));
    assert_eq!(action, LedgerAction::Refuse(ResultCode::DeadlinePassed));
    let closing = bench.step(LedgerInput::Timer);
    assert_eq!(
        claim_of(&closing).state,
        ClaimState::NotRun,
        "the claim is released"
    );
}

#[test]
fn no_slot() {
    let bench = Bench::new(1);
    let code = ResultCode::QueueFull;
    let look = |found| bench.ledger.refuse_unclaimed(code, found);
    assert_eq!(look(None), LedgerAction::Refuse(code));
    let answered = bench.foreign(ClaimState::Answered(answer()));
    assert_eq!(look(Some(answered)), LedgerAction::Replay(answer()));
    let running = bench.foreign(ClaimState::Running);
    assert_eq!(
        look(Some(running)),
        LedgerAction::Refuse(ResultCode::KeyRunning)
    );
    let unknown = bench.foreign(ClaimState::Unknown);
    assert_eq!(
        look(Some(unknown)),
        LedgerAction::Refuse(ResultCode::OutcomeUnknown)
    );
}

#[test]
fn closing_retried() {
    let mut bench = Bench::new(1);
    bench.step(LedgerInput::Begin);
    bench.step(LedgerInput::Written(Version(1)));
    bench.step(LedgerInput::Answered(answer()));
    for _ in 0..20 {
        let action = bench.step(LedgerInput::StoreFailed { is_open: false });
        assert!(matches!(action, LedgerAction::Wait(_)));
        let again = bench.step(LedgerInput::Timer);
        assert_eq!(claim_of(&again).state, ClaimState::Answered(answer()));
    }
    assert_eq!(
        bench.step(LedgerInput::Written(Version(2))),
        LedgerAction::Done
    );
}

/// Callers of one key, the row and what has run.
struct World {
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
    is_over: bool,
}

/// What happens to one pending action of one caller.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Plain,
    ReplyLost,
    Refused,
    NotRun,
    Lost,
}

impl World {
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
                    is_over: false,
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

    fn write(&mut self, claim: Claim, condition: Option<Version>, fate: Fate) -> LedgerInput {
        if matches!(fate, Fate::Refused) {
            return LedgerInput::StoreFailed { is_open: false };
        }
        if self.row.as_ref().map(|(_, version)| *version) != condition {
            return LedgerInput::Conflict;
        }
        self.version += 1;
        self.row = Some((claim, Version(self.version)));
        match fate {
            Fate::ReplyLost => LedgerInput::StoreFailed { is_open: true },
            _ => LedgerInput::Written(Version(self.version)),
        }
    }

    fn act(&mut self, index: usize, fate: Fate, pause: Duration) {
        let index = index % self.callers.len();
        if self.callers[index].is_over {
            return;
        }
        let pending = self.callers[index].pending.clone();
        let input = match pending {
            LedgerAction::Insert(claim) => self.write(claim, None, fate),
            LedgerAction::Replace(claim, version) => self.write(claim, Some(version), fate),
            LedgerAction::Read if matches!(fate, Fate::Refused | Fate::ReplyLost) => {
                LedgerInput::StoreFailed { is_open: false }
            }
            LedgerAction::Read => LedgerInput::Read(self.row.clone()),
            LedgerAction::Wait(_) => LedgerInput::Timer,
            LedgerAction::Dispatch => self.dispatch(index, fate),
            LedgerAction::Refuse(code) => {
                self.callers[index].refused_not_run |= code.run_state() == RunState::NotRun;
                LedgerInput::Timer
            }
            LedgerAction::Replay(_) | LedgerAction::Done => {
                self.callers[index].is_over = true;
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
            caller.is_over = true;
        }
    }

    fn dispatch(&mut self, index: usize, fate: Fate) -> LedgerInput {
        let caller = &mut self.callers[index];
        assert!(!caller.has_run, "one claim was dispatched twice");
        assert!(
            !caller.refused_not_run,
            "a claim ran after it was refused as not run"
        );
        match fate {
            Fate::NotRun | Fate::Refused => LedgerInput::NotRun,
            Fate::Lost | Fate::ReplyLost => {
                caller.has_run = true;
                self.runs += 1;
                LedgerInput::Lost
            }
            Fate::Plain => {
                caller.has_run = true;
                self.runs += 1;
                LedgerInput::Answered(answer())
            }
        }
    }
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        5 => Just(Fate::Plain),
        2 => Just(Fate::ReplyLost),
        2 => Just(Fate::Refused),
        1 => Just(Fate::NotRun),
        1 => Just(Fate::Lost),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn one_run(
        callers in 1_usize..5,
        steps in prop::collection::vec((any::<usize>(), fate(), 0_u64..400), 1..200),
    ) {
        let mut world = World::new(callers);
        for (index, fate, pause) in steps {
            world.act(index, fate, Duration::from_millis(pause));
            prop_assert!(world.runs <= 1, "{} runs of one key", world.runs);
        }
    }
}
