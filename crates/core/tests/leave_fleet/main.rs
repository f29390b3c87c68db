//! A model of a fleet of 5 to 300 VMs whose targets join and leave while datagrams are lost,
//! VMs get their processor late, readers stop, and the store drops its history or returns from
//! a copy.
//!
//! At each send, the age of the leave is held against the bound. Each guard is taken out
//! once, to see that the model fails without it.

mod store;

use gentianridge_core::{
    Directory, ReadTurn, SendCheck, StallDetector, TargetList, TargetListRead, TargetListUpdate,
    UpdateOutcome,
};
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::time::{Duration, Instant};
use store::Store;

const BOUND: Duration = Duration::from_millis(2_000);
const STEP: Duration = Duration::from_millis(10);
/// Longest time of a request on its way to a target.
const TRANSIT: Duration = Duration::from_millis(20);
const TARGETS: usize = 40;
const FANOUT: usize = 4;
const ROUNDS: u8 = 2;
/// Entries above which an update does not fit into a datagram.
const MAX_ENTRIES: usize = 12;
/// Time after the last change in which every list has to become equal.
const SETTLE: Duration = Duration::from_millis(2_500);

/// Longest time in which what a copy lacks is written again.
const RESTORE_MS: u64 = 1_900;

/// Time after the store's return at which the bound begins for a leave of about that time: a
/// target that the copy lacks stays in use for two seconds after a VM has noticed the return.
const EXCUSED: Duration = Duration::from_millis(1_500);

/// The guard that a run of the model takes out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// Updates are applied whatever their digest is.
    NoDigest,
    /// The age of a list counts from the arrival of the answer.
    AgeFromAnswer,
    /// Requests are sent by lists of any age.
    NoAgeLimit,
    /// Updates that waited while the process was paused are applied with their stated ages.
    NoStallDetection,
    /// Versions of different eras are compared by their numbers.
    NoEras,
}

struct PendingRead {
    sent_at: Duration,
    arrives_at: Duration,
    read: TargetListRead,
}

struct Queued {
    update: TargetListUpdate,
    read_at: Duration,
    rounds_left: u8,
}

struct Vm {
    list: TargetList,
    pending: Option<PendingRead>,
    queued: Option<Queued>,
    inbox: Vec<(Duration, TargetListUpdate, Duration)>,
    stall: StallDetector,
    /// The VM runs only in steps whose number is a multiple of this.
    runs_every: u64,
    /// Time from a read to its answer.
    store_delay: Duration,
    /// True if no datagram reaches the VM or leaves it.
    is_cut_off: bool,
    /// True if datagrams leave the VM and none reaches it.
    is_deaf: bool,
    is_stopped: bool,
    /// True if the VM may not know what happened before the store's return, and the time for
    /// which that lasts once it has noticed the return.
    is_excused: bool,
    excused_until: Duration,
    era: u64,
}

struct Fleet {
    mutant: Mutant,
    start: Instant,
    now: Duration,
    step: u64,
    vms: Vec<Vm>,
    store: Store,
    rng: Pcg32,
    /// Ends of the targets that leave soon.
    brief: Vec<(Duration, usize)>,
    reads: usize,
    /// Sends later than the bound after the leave of their target.
    late_sends: usize,
    /// Lists that are not what the store held at their version.
    mixed_lists: usize,
}

impl Fleet {
    fn new(size: usize, mutant: Mutant, seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let vms = (0..size)
            .map(|index| Vm {
                list: TargetList::new(BOUND),
                pending: None,
                queued: None,
                inbox: Vec::new(),
                stall: StallDetector::default(),
                runs_every: if rng.random_bool(0.1) { 8 } else { 1 },
                // One VM has a slow path to the store and no path to its peers.
                store_delay: Duration::from_millis(if index == 1 { 900 } else { 20 }),
                is_cut_off: index == 1,
                is_deaf: index == 2,
                is_stopped: false,
                is_excused: false,
                excused_until: Duration::ZERO,
                era: 0,
            })
            .collect();
        Self {
            mutant,
            start: Instant::now(),
            now: Duration::ZERO,
            step: 0,
            vms,
            store: Store::new(),
            rng,
            brief: Vec::new(),
            reads: 0,
            late_sends: 0,
            mixed_lists: 0,
        }
    }

    /// Runs the fleet while targets come and go, in bursts that do not fit into one update.
    fn run_changes(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            if self.rng.random_bool(0.06) {
                let count = if self.rng.random_bool(0.1) { 16 } else { 2 };
                for _ in 0..count {
                    let target = self.rng.random_range(0..TARGETS);
                    let drains = self.rng.random_bool(0.5);
                    self.store.change(self.now, target, drains);
                }
            }
            self.change_brief_targets();
            if self.rng.random_bool(0.003) {
                self.return_store();
            }
            if self.rng.random_bool(0.02) {
                self.store.compacted = self.store.version;
            }
            if self.rng.random_bool(0.005) {
                let vm = self.rng.random_range(0..self.vms.len());
                self.vms[vm].is_stopped = !self.vms[vm].is_stopped;
            }
            self.advance();
        }
    }

    /// Has the store return from a copy. VMs whose lists are outdated may not know of the
    /// leaves that it lacks.
    fn return_store(&mut self) {
        let most = (self.store.changes.len() - TARGETS).min(60);
        let lost = self.rng.random_range(0..=most);
        self.store.return_from_copy(self.now, lost, &mut self.rng);
        let at = self.start + self.now;
        for vm in &mut self.vms {
            let age = vm.list.get_age(at).unwrap_or(BOUND);
            if vm.is_stopped || age > BOUND.mul_f64(0.8) {
                vm.is_excused = true;
            }
        }
    }

    /// Starts targets that leave again within a few reads.
    fn change_brief_targets(&mut self) {
        let target = self.rng.random_range(0..TARGETS);
        let is_gone = self.store.truth[target].0.is_none();
        if is_gone && self.rng.random_bool(0.05) {
            let time = Duration::from_millis(self.rng.random_range(50..300));
            self.store.change(self.now, target, false);
            self.brief.push((self.now + time, target));
        }
        let now = self.now;
        for (_, target) in self.brief.extract_if(.., |(end, _)| *end <= now) {
            self.store.change(now, target, false);
        }
    }

    fn run_quietly(&mut self, time: Duration) {
        for vm in &mut self.vms {
            vm.is_stopped = false;
        }
        let end = self.now + time;
        while self.now < end {
            self.advance();
        }
    }

    fn advance(&mut self) {
        self.now += STEP;
        self.step += 1;
        self.store.rewrite(self.now);
        for index in 0..self.vms.len() {
            let vm = &self.vms[index];
            if !vm.is_stopped && self.step.is_multiple_of(vm.runs_every) {
                self.receive(index);
                self.read(index);
                self.relay(index);
                self.check_list(index);
                self.send_request(index);
            }
        }
    }

    fn check_list(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let era = vm.list.get_version().map_or(0, |version| version.era);
        if std::mem::replace(&mut vm.era, era) != era && era == self.store.era {
            let is_excused = std::mem::take(&mut vm.is_excused);
            // A VM that was stopped notices the return late.
            let returned_at = self.store.returned_at;
            if is_excused || returned_at.is_some_and(|at| self.now > at + EXCUSED) {
                let restored = Duration::from_millis(RESTORE_MS) + BOUND;
                let restored = returned_at.map_or(Duration::ZERO, |at| at + restored);
                let settled = self.now + Directory::SETTLE_PERIOD + STEP * 10;
                vm.excused_until = settled.max(restored);
            }
        }
        let list = &vm.list;
        let held = list
            .get_version()
            .and_then(|at| self.store.digests.get(&at));
        let is_mixed = held.is_some_and(|digest| *digest != list.get_digest());
        self.mixed_lists += usize::from(is_mixed);
    }

    /// Returns the turn of a VM: they read in the order of their numbers.
    fn get_turn(&mut self, index: usize) -> ReadTurn {
        ReadTurn {
            rank: index,
            draw: self.rng.random(),
        }
    }

    fn receive(&mut self, index: usize) {
        let now = self.now;
        let vm = &mut self.vms[index];
        vm.stall.observe(self.start + now);
        let has_backlog = vm.stall.has_backlog(self.start + now);
        let inbox = std::mem::take(&mut vm.inbox);
        let (arrived, waiting): (Vec<_>, Vec<_>) =
            inbox.into_iter().partition(|(at, _, _)| *at <= now);
        self.vms[index].inbox = waiting;
        let is_trusted = !has_backlog || self.mutant == Mutant::NoStallDetection;
        for (_, update, read_at) in arrived.into_iter().filter(|_| is_trusted) {
            self.apply_update(index, update, read_at);
        }
    }

    fn apply_update(&mut self, index: usize, mut update: TargetListUpdate, read_at: Duration) {
        let at = self.start + self.now;
        let turn = self.get_turn(index);
        let vm = &mut self.vms[index];
        if self.mutant == Mutant::NoDigest {
            update.digest = vm.list.predict_digest(&update);
        }
        let outcome = vm.list.apply_update(at, &update, turn, &mut Vec::new());
        if outcome != UpdateOutcome::Stale {
            vm.queue(update, read_at);
        }
    }

    fn read(&mut self, index: usize) {
        let (now, at) = (self.now, self.start + self.now);
        let turn = self.get_turn(index);
        let vm = &mut self.vms[index];
        if let Some(pending) = vm.pending.take_if(|read| read.arrives_at <= now) {
            let read_at = match self.mutant {
                Mutant::AgeFromAnswer => now,
                _ => pending.sent_at,
            };
            let mut read = pending.read;
            if self.mutant == Mutant::NoEras {
                read.version.era = 1;
            }
            let changed = &mut Vec::new();
            let sent_at = self.start + read_at;
            let applied = vm.list.apply_read(at, sent_at, read, turn, changed);
            if let Some(applied) = applied.filter(|applied| applied.is_relayable) {
                vm.queue(applied.update, read_at);
            }
        }
        let list = &vm.list;
        let is_due = list.has_gap() || list.get_due().is_none_or(|due| due <= at);
        if vm.pending.is_none() && is_due {
            self.reads += 1;
            let after = list.get_version().filter(|_| !list.needs_full_read());
            vm.pending = Some(PendingRead {
                sent_at: now,
                arrives_at: now + vm.store_delay,
                read: self.store.read(after),
            });
        }
    }

    /// Sends the queued update to random peers; one datagram in twenty is lost, and an update
    /// that is too large reaches nobody.
    fn relay(&mut self, index: usize) {
        let now = self.now;
        let vm = &mut self.vms[index];
        let Some(queued) = vm.queued.as_mut().filter(|queued| queued.rounds_left > 0) else {
            return;
        };
        queued.rounds_left -= 1;
        let (update, read_at) = (queued.update.clone(), queued.read_at);
        if vm.is_cut_off || update.entries.len() + update.removed.len() > MAX_ENTRIES {
            return;
        }
        let size = self.vms.len();
        for to in (0..size).sample(&mut self.rng, FANOUT) {
            let is_reached = to != index && !self.vms[to].is_cut_off && !self.vms[to].is_deaf;
            if !is_reached || self.rng.random_bool(0.05) {
                continue;
            }
            let update = TargetListUpdate {
                age: now - read_at,
                ..update.clone()
            };
            self.vms[to].inbox.push((now + STEP, update, read_at));
        }
    }

    fn send_request(&mut self, index: usize) {
        let at = self.start + self.now;
        self.vms[index].list.expire(at, &mut Vec::new());
        let list = &self.vms[index].list;
        let targets = list.get_targets("cart", 10);
        let Some(target) = targets.iter().filter(|t| !t.drain).choose(&mut self.rng) else {
            return;
        };
        let incarnation = target.get_incarnation();
        let is_sent = match list.check_send(at, &incarnation) {
            SendCheck::Allowed => true,
            SendCheck::Outdated => self.mutant == Mutant::NoAgeLimit,
            SendCheck::Withdrawn | SendCheck::Paused | SendCheck::Emptied => false,
        };
        let mut leaves = self.store.leaves.iter();
        let leave = leaves.find(|(left, _)| *left == incarnation);
        let is_late =
            leave.is_some_and(|(_, left_at)| (self.now + TRANSIT).saturating_sub(*left_at) > BOUND);
        let vm = &self.vms[index];
        let is_excused = vm.is_excused || self.now < vm.excused_until;
        self.late_sends += usize::from(is_sent && is_late && !is_excused);
    }

    fn count_different_lists(&self) -> usize {
        let mut reader = TargetList::new(BOUND);
        let changed = &mut Vec::new();
        reader.apply_read(
            self.start,
            self.start,
            self.store.read(None),
            ReadTurn::first(),
            changed,
        );
        let lists = self.vms.iter().map(|vm| vm.list.get_digest());
        lists
            .filter(|digest| *digest != reader.get_digest())
            .count()
    }
}

impl Vm {
    fn queue(&mut self, update: TargetListUpdate, read_at: Duration) {
        let is_newer = self.queued.as_ref().is_none_or(|queued| {
            update.version > queued.update.version || read_at > queued.read_at
        });
        if is_newer {
            self.queued = Some(Queued {
                update,
                read_at,
                rounds_left: ROUNDS,
            });
        }
    }
}

fn run(size: usize, mutant: Mutant, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, mutant, seed);
    fleet.run_quietly(Duration::from_secs(1));
    fleet.run_changes(Duration::from_secs(10));
    fleet.run_quietly(Duration::from_millis(RESTORE_MS) + SETTLE);
    fleet
}

/// No request is sent later than the bound after the leave of its target, and all lists are
/// equal to the store's once the changes stop.
#[test]
fn no_late_send() {
    for (size, seeds) in [(5, 30), (46, 6), (124, 2), (300, 1)] {
        for seed in 0..seeds {
            let fleet = run(size, Mutant::None, seed);
            assert_eq!(fleet.late_sends, 0, "{size} VMs, seed {seed}");
            assert_eq!(fleet.mixed_lists, 0, "{size} VMs, seed {seed}");
            assert_eq!(fleet.count_different_lists(), 0, "{size} VMs, seed {seed}");
        }
    }
}

/// Without any one of the guards the model finds late sends, or lists that differ.
#[test]
fn guards_needed() {
    let mutants = [
        Mutant::NoDigest,
        Mutant::AgeFromAnswer,
        Mutant::NoAgeLimit,
        Mutant::NoStallDetection,
        Mutant::NoEras,
    ];
    for mutant in mutants {
        let small = (0..30).map(|seed| run(5, mutant, seed));
        let large = (0..6).map(|seed| run(46, mutant, seed));
        let is_found = small.chain(large).any(|fleet| {
            let differs = fleet.mixed_lists + fleet.count_different_lists() > 0;
            fleet.late_sends > 0 || (mutant == Mutant::NoEras && differs)
        });
        assert!(is_found, "{mutant:?}");
    }
}
