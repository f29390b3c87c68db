//! A model of a fleet that accepts keys by proofs of its configuration. Messages are lost
//! and late, VMs are cut off, paused, suspended and restarted, and the store fails some of
//! them and returns from older copies. Each revision withdraws a key that only the one before
//! it holds.

use gentianridge_core::{ConfigProof, EraNotice, EraOrder, Proofs, StoreEra, StoreTime};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Time after which a withdrawn key must be refused.
const REVOKE: Duration = Duration::from_secs(5);
/// Age of a proof at which a VM asks a peer.
const RENEWAL: Duration = Duration::from_millis(2_500);
/// Age of a proof at which VMs begin to read the store.
const READ_AGE: Duration = Duration::from_millis(600);
/// Time between two rounds of datagrams, and between two checks.
const ROUND: Duration = Duration::from_millis(300);
/// Longest wait for the answer of a peer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
const FANOUT: usize = 4;
/// Time of the store's clock when the model starts.
const STORE_START: Duration = Duration::from_secs(51);
/// Longest difference between the rates of two clocks, in parts per million.
const RATE_PPM: i64 = 200;

/// The guard that a run of the model takes out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// Keys are accepted by proofs of any age.
    NoBound,
    /// Proofs of newer revisions serve for the one in force.
    AnyRevision,
    /// The moment of a proof is the end of its read.
    ReadEnd,
    /// A read that failed counts as a proof.
    FailedReads,
    /// The clock of the VM leaves out the time in which it was suspended.
    MonotonicClock,
    /// Datagrams state ages, which do not count their time under way.
    AgeInMessage,
    /// The time of the store that a peer states counts as that of its arrival.
    TimeOfArrival,
    /// The age is the least that the proof can have.
    LeastAge,
    /// After the store's return, a VM reads on from the version that it had.
    ReadsOn,
    /// Reads prove something as soon as the store has returned.
    AtOnce,
}

/// A return of the store from a copy.
#[derive(Debug, Clone, Copy)]
struct Return {
    at: Duration,
    /// Newest revision in the copy.
    kept: u64,
    /// Time at which the lost revisions are written again.
    restored_at: Duration,
}

/// What a read of the store returned.
#[derive(Debug, Clone, Copy)]
struct Answer {
    era: u64,
    newest: u64,
    /// Time that the store stated.
    stated: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Reply {
    revision: u64,
    proof: Option<ConfigProof>,
    time: Option<StoreTime>,
    era: Option<EraNotice>,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Round,
    /// End of a read of the store, `None` if it failed.
    ReadEnd {
        sent: Duration,
        answer: Option<Answer>,
    },
    Datagram {
        era: Option<EraNotice>,
        proof: Option<ConfigProof>,
        /// Age of the proof when it was sent.
        age: Option<Duration>,
        newest: u64,
        from: usize,
    },
    Request {
        sent: Duration,
        from: usize,
    },
    Reply {
        sent: Duration,
        reply: Reply,
    },
}

#[derive(Debug, Default)]
struct Vm {
    proofs: Proofs,
    era: StoreEra,
    /// Newest revision that a read which went on from an old version left out.
    skipped: u64,
    revision: u64,
    is_reading: bool,
    /// End of the time in which a peer may answer.
    asking_until: Duration,
    /// Time since the boot of the VM when the model starts.
    booted: Duration,
    rate_ppm: i64,
    suspended: Duration,
    paused_until: Duration,
    store_lost_until: Duration,
    group: u8,
}

struct Fleet {
    rng: Pcg64,
    mutant: Mutant,
    now: Duration,
    vms: Vec<Vm>,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    contents: BTreeMap<u64, (usize, Event)>,
    next_event: u64,
    /// Times at which the revisions from 1 on were written.
    written: Vec<Duration>,
    returns: Vec<Return>,
    cut_until: Duration,
    slow_until: Duration,
    is_calm: bool,
    late: usize,
    refused: usize,
    oldest: Duration,
}

impl Fleet {
    fn new(size: usize, mutant: Mutant, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let vms = (0..size).map(|_| Vm {
            booted: Duration::from_millis(rng.random_range(0..1_000_000)),
            rate_ppm: rng.random_range(-RATE_PPM..=RATE_PPM),
            ..Vm::default()
        });
        let mut fleet = Self {
            vms: vms.collect(),
            rng,
            mutant,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            contents: BTreeMap::new(),
            next_event: 0,
            written: vec![Duration::ZERO],
            returns: Vec::new(),
            cut_until: Duration::ZERO,
            slow_until: Duration::ZERO,
            is_calm: true,
            late: 0,
            refused: 0,
            oldest: Duration::ZERO,
        };
        for vm in 0..size {
            let at = fleet.random_time(0, 300);
            fleet.schedule(at, vm, Event::Round);
        }
        fleet
    }

    fn random_time(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(from_ms * 1_000..=to_ms * 1_000))
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn schedule(&mut self, at: Duration, vm: usize, event: Event) {
        self.events.push(Reverse((at, self.next_event)));
        self.contents.insert(self.next_event, (vm, event));
        self.next_event += 1;
    }

    /// Returns the clock of a VM at a time of the model.
    fn clock(&self, vm: usize, at: Duration) -> Duration {
        let vm = &self.vms[vm];
        let micros = at.as_micros() as i64;
        let drifted = micros + micros * vm.rate_ppm / 1_000_000;
        let time = vm.booted + Duration::from_micros(drifted as u64);
        match self.mutant {
            Mutant::MonotonicClock => time.saturating_sub(vm.suspended),
            _ => time,
        }
    }

    fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            let (vm, event) = self.contents.remove(&number).expect("a scheduled event");
            if self.vms[vm].paused_until > at {
                self.schedule(self.vms[vm].paused_until, vm, event);
                continue;
            }
            // A process that wakes may read callers' requests before anything else.
            self.check(vm);
            self.handle(vm, event);
            self.check(vm);
        }
        self.now = end;
    }

    fn handle(&mut self, vm: usize, event: Event) {
        match event {
            Event::Round => self.run_round(vm),
            Event::ReadEnd { sent, answer } => self.end_read(vm, sent, answer),
            Event::Datagram {
                era,
                proof,
                age,
                newest,
                from,
            } => {
                self.adopt_era(vm, era);
                self.receive(vm, proof, age, newest, from);
            }
            Event::Request { sent, from } => self.answer(vm, sent, from),
            Event::Reply { sent, reply } => self.apply_reply(vm, sent, reply),
        }
    }

    fn run_round(&mut self, vm: usize) {
        let clock = self.clock(vm, self.now);
        let age = self.vms[vm].proofs.get_age(clock);
        let is_older = |bound| age.is_none_or(|age| age > bound);
        // One VM reads for all, and others at times beside it.
        if is_older(RENEWAL) || is_older(READ_AGE) && (vm == 0 || self.chance(30)) {
            self.read(vm);
        }
        if is_older(RENEWAL) {
            let peer = self.rng.random_range(0..self.vms.len());
            self.ask(vm, peer);
        }
        let proof = self.vms[vm].proofs.get_newest();
        let time = self.vms[vm].proofs.get_store_time(clock);
        let age = proof.and_then(|proof| Some(time?.latest.saturating_sub(proof.at)));
        let newest = self.vms[vm].revision;
        let era = self.vms[vm].era.get_notice(clock);
        for _ in 0..FANOUT {
            let to = self.rng.random_range(0..self.vms.len());
            let datagram = Event::Datagram {
                era,
                proof,
                age,
                newest,
                from: vm,
            };
            self.send(vm, to, datagram);
        }
        self.schedule(self.now + ROUND, vm, Event::Round);
    }

    /// Sends a message; it is lost across a cut, and at times late by seconds.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        let is_cut = self.now < self.cut_until && self.vms[from].group != self.vms[to].group;
        let is_lost = !self.is_calm && self.chance(15);
        if is_cut || is_lost {
            return;
        }
        let is_late = !self.is_calm && self.chance(10);
        let delay = match is_late {
            true => self.random_time(100, 4_000),
            false => self.random_time(1, 5),
        };
        self.schedule(self.now + delay, to, event);
    }

    fn read(&mut self, vm: usize) {
        if std::mem::replace(&mut self.vms[vm].is_reading, true) {
            return;
        }
        let sent = self.now;
        if self.vms[vm].store_lost_until > sent {
            let end = sent + Duration::from_millis(1_500);
            let event = Event::ReadEnd { sent, answer: None };
            self.schedule(end, vm, event);
            return;
        }
        let slow = if sent < self.slow_until { 1_200 } else { 5 };
        // The answer shows the state at the call, and the clock at its end.
        let read_at = sent + self.random_time(1, slow);
        let answered = read_at + self.random_time(0, 450);
        let stated = Duration::from_millis((STORE_START + answered).as_millis() as u64);
        let end = answered + self.random_time(1, slow);
        let answer = Answer {
            era: self.get_era(read_at),
            newest: self.get_newest(read_at),
            stated,
        };
        // A return ends the calls under way.
        let answer = Some(answer).filter(|answer| answer.era == self.get_era(answered));
        self.schedule(end, vm, Event::ReadEnd { sent, answer });
    }

    fn get_era(&self, at: Duration) -> u64 {
        1 + self.returns.iter().filter(|r| r.at <= at).count() as u64
    }

    /// Returns the newest revision in the store.
    fn get_newest(&self, at: Duration) -> u64 {
        let newest = self
            .written
            .iter()
            .filter(|written| **written <= at)
            .count();
        let last = self.returns.iter().rev().find(|r| r.at <= at);
        let is_missing = |r: &&Return| at < r.restored_at && self.written[newest - 1] <= r.at;
        last.filter(is_missing).map_or(newest as u64, |r| r.kept)
    }

    fn adopt_era(&mut self, vm: usize, era: Option<EraNotice>) {
        let clock = self.clock(vm, self.now);
        if let Some(notice) = era {
            self.vms[vm].era.adopt(clock, notice);
        }
    }

    fn end_read(&mut self, vm: usize, sent: Duration, answer: Option<Answer>) {
        self.vms[vm].is_reading = false;
        let (sent, received) = (self.clock(vm, sent), self.clock(vm, self.now));
        let state = &mut self.vms[vm];
        let Some(Answer {
            era,
            mut newest,
            stated,
        }) = answer
        else {
            if self.mutant == Mutant::FailedReads {
                state.proofs.record_read(&state.era, sent);
            }
            return;
        };
        if self.mutant == Mutant::AtOnce {
            state.era = StoreEra::default();
        }
        match state.era.observe(received, era) {
            EraOrder::Older(_) => return,
            EraOrder::Newer(_) if self.mutant == Mutant::ReadsOn => state.skipped = newest,
            EraOrder::Newer(_) | EraOrder::Current => {}
        }
        if newest <= state.skipped {
            newest = state.revision;
        }
        let rounding = Duration::from_millis(1);
        let time = StoreTime {
            earliest: stated - rounding,
            latest: stated + rounding,
        };
        state.proofs.record_time(sent, received, time);
        state.set_revision(newest);
        match self.mutant {
            Mutant::ReadEnd => state.proofs.record_read(&state.era, received),
            _ => state.proofs.record_read(&state.era, sent),
        }
    }

    fn receive(
        &mut self,
        vm: usize,
        proof: Option<ConfigProof>,
        age: Option<Duration>,
        newest: u64,
        from: usize,
    ) {
        self.adopt(vm, proof, age);
        if newest > self.vms[vm].revision {
            self.ask(vm, from);
        }
    }

    fn adopt(&mut self, vm: usize, proof: Option<ConfigProof>, age: Option<Duration>) {
        let clock = self.clock(vm, self.now);
        let state = &mut self.vms[vm];
        let Some(mut proof) = proof else {
            return;
        };
        if self.mutant == Mutant::AnyRevision {
            proof.revision = proof.revision.min(state.revision);
        }
        let time = state.proofs.get_store_time(clock);
        if let (Mutant::AgeInMessage, Some(time), Some(age)) = (self.mutant, time, age) {
            proof.at = time.latest.saturating_sub(age);
        }
        state.proofs.adopt(&state.era, clock, proof);
    }

    fn ask(&mut self, vm: usize, peer: usize) {
        let sent = self.now;
        if self.vms[vm].asking_until <= sent {
            self.vms[vm].asking_until = sent + ANSWER_TIMEOUT;
            self.send(vm, peer, Event::Request { sent, from: vm });
        }
    }

    fn answer(&mut self, vm: usize, sent: Duration, from: usize) {
        let clock = self.clock(vm, self.now);
        let state = &self.vms[vm];
        let reply = Reply {
            revision: state.revision,
            proof: state.proofs.get_newest(),
            time: state.proofs.get_store_time(clock),
            era: state.era.get_notice(clock),
        };
        self.send(vm, from, Event::Reply { sent, reply });
    }

    fn apply_reply(&mut self, vm: usize, sent: Duration, reply: Reply) {
        let received = self.clock(vm, self.now);
        let sent = match self.mutant {
            Mutant::TimeOfArrival => received,
            _ => self.clock(vm, sent),
        };
        if let Some(time) = reply.time {
            self.vms[vm].proofs.record_time(sent, received, time);
        }
        self.adopt_era(vm, reply.era);
        self.adopt(vm, reply.proof, None);
        self.vms[vm].set_revision(reply.revision);
    }

    fn is_accepting(&self, vm: usize) -> bool {
        let clock = self.clock(vm, self.now);
        let proofs = &self.vms[vm].proofs;
        match self.mutant {
            Mutant::NoBound => proofs.get_age(clock).is_some(),
            Mutant::LeastAge => {
                let time = proofs.get_store_time(clock);
                let slack = time.map_or(Duration::ZERO, |time| time.latest - time.earliest);
                proofs.is_within(clock, REVOKE + slack)
            }
            _ => proofs.is_within(clock, REVOKE),
        }
    }

    /// Counts what this VM does with a request that its caller sends now.
    fn check(&mut self, vm: usize) {
        let clock = self.clock(vm, self.now);
        let state = &self.vms[vm];
        let age = state.proofs.get_age(clock).unwrap_or_default();
        let withdrawn = self.written.get(state.revision as usize).copied();
        self.oldest = self.oldest.max(age);
        if !self.is_accepting(vm) {
            self.refused += 1;
        } else if withdrawn.is_some_and(|at| self.now > at + REVOKE) {
            self.late += 1;
        }
    }

    /// Brings about one fault, or two together.
    fn disturb(&mut self) {
        let vm = self.rng.random_range(0..self.vms.len());
        let end = self.now + self.random_time(500, 9_000);
        match self.rng.random_range(0..9) {
            0 => self.vms[vm].paused_until = end,
            1 => {
                self.vms[vm].paused_until = end;
                self.vms[vm].suspended += end - self.now;
            }
            2 => self.vms[vm].store_lost_until = end,
            3 => self.vms.iter_mut().for_each(|vm| vm.store_lost_until = end),
            4 => {
                for index in 0..self.vms.len() {
                    self.vms[index].group = self.rng.random_range(0..3);
                }
                self.cut_until = end;
            }
            5 => self.slow_until = end,
            6 => {
                // A VM that is cut off from everything.
                self.vms[vm].store_lost_until = end;
                self.vms[vm].group = 7;
                self.cut_until = end;
            }
            7 => self.return_store(),
            _ => {
                // A VM that starts learns from a seed of a return before it reads the store.
                let state = &mut self.vms[vm];
                state.proofs = Proofs::default();
                state.revision = 0;
            }
        }
    }

    /// Has the store leave for a moment and return from a copy some seconds old.
    fn return_store(&mut self) {
        let at = self.now + self.random_time(50, 1_500);
        if self.returns.last().is_some_and(|last| last.at >= self.now) {
            return;
        }
        let copied = self.now.saturating_sub(self.random_time(0, 10_000));
        let restored_at = at + self.random_time(0, 1_900);
        self.returns.push(Return {
            at,
            kept: self.get_newest(copied),
            restored_at,
        });
        for vm in &mut self.vms {
            vm.store_lost_until = vm.store_lost_until.max(at);
        }
    }

    fn run_faults(&mut self, length: Duration) {
        self.is_calm = false;
        let end = self.now + length;
        while self.now < end {
            let step = self.random_time(50, 1_000);
            self.run_until(self.now + step);
            if self.chance(60) {
                self.disturb();
            }
            if self.chance(15) {
                self.written.push(self.now);
            }
        }
        self.is_calm = true;
    }
}

impl Vm {
    fn set_revision(&mut self, revision: u64) {
        if revision > self.revision {
            self.revision = revision;
            self.proofs.set_revision(revision);
        }
    }
}

const START: Duration = Duration::from_secs(3);

fn run(size: usize, mutant: Mutant, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, mutant, seed);
    fleet.run_until(START);
    fleet.run_faults(Duration::from_secs(60));
    fleet
}

/// No VM accepts a key later than the bound after it was withdrawn, whatever fails.
#[test]
fn no_late_key() {
    for (size, seeds) in [(5, 60), (40, 8), (124, 3), (300, 2)] {
        for seed in 0..seeds {
            let fleet = run(size, Mutant::None, seed);
            assert_eq!(fleet.late, 0, "{size} VMs, seed {seed}");
        }
    }
}

/// Without faults no key is refused for lack of a proof, and proofs stay under half of the
/// bound, also while the configuration changes.
#[test]
fn calm_fleet() {
    for size in [1, 5, 40, 300] {
        let mut fleet = Fleet::new(size, Mutant::None, 7);
        fleet.run_until(START);
        (fleet.refused, fleet.oldest) = (0, Duration::ZERO);
        for _ in 0..10 {
            fleet.written.push(fleet.now);
            fleet.run_until(fleet.now + Duration::from_secs(1));
        }
        assert_eq!(fleet.refused, 0, "{size} VMs");
        assert!(fleet.oldest < RENEWAL, "{size} VMs: {:?}", fleet.oldest);
    }
}

/// VMs that the store turns away go on serving by the proofs of the others.
#[test]
fn proofs_through_peers() {
    for size in [5, 40, 300] {
        let mut fleet = Fleet::new(size, Mutant::None, 7);
        fleet.run_until(START);
        let end = fleet.now + Duration::from_secs(20);
        for vm in 1..size {
            fleet.vms[vm].store_lost_until = end;
        }
        fleet.refused = 0;
        fleet.run_until(end);
        assert_eq!(fleet.refused, 0, "{size} VMs");
    }
}

/// After faults all VMs accept keys again within the time in which a read spreads.
#[test]
fn keys_accepted_again() {
    for (size, seed) in [(5, 1), (5, 2), (40, 1), (300, 1)] {
        let mut fleet = run(size, Mutant::None, seed);
        fleet.run_until(fleet.now + Duration::from_secs(15));
        fleet.refused = 0;
        fleet.run_until(fleet.now + Duration::from_secs(5));
        assert_eq!(fleet.refused, 0, "{size} VMs, seed {seed}");
    }
}

/// Without any one of the guards the model finds keys that are accepted too late.
#[test]
fn guards_needed() {
    let mutants = [
        Mutant::NoBound,
        Mutant::AnyRevision,
        Mutant::ReadEnd,
        Mutant::FailedReads,
        Mutant::MonotonicClock,
        Mutant::AgeInMessage,
        Mutant::TimeOfArrival,
        Mutant::LeastAge,
        Mutant::ReadsOn,
        Mutant::AtOnce,
    ];
    for mutant in mutants {
        let small = (0..60).map(|seed| run(5, mutant, seed));
        let large = (0..8).map(|seed| run(40, mutant, seed));
        let is_found = small.chain(large).any(|fleet| fleet.late > 0);
        assert!(is_found, "{mutant:?}");
    }
}
