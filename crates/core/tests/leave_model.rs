//! A model of targets that join and leave and of VMs that read the target list and relay
//! updates in any order. Updates are lost, late or arrive during a read, the store drops its
//! history or answers late, and VMs restart.

use gentianridge_core::{
    Incarnation, ReadTurn, SendCheck, StoreVersion, TargetEntry, TargetList, TargetListRead,
    TargetListUpdate, TargetSpec, UpdateOutcome,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::time::{Duration, Instant};

const VMS: usize = 4;
const TARGETS: usize = 6;
/// Time after which no VM may use a target that has left.
const BOUND: Duration = Duration::from_millis(2_000);
/// Time between a read at the store and the arrival of its response at the VM.
const USUAL_DELAY: Duration = Duration::from_millis(30);
/// The same while the store is slow.
const SLOW_DELAY: Duration = Duration::from_millis(700);
const STEP: Duration = Duration::from_millis(10);

#[derive(Debug, Clone)]
enum Transition {
    /// The clock advances; VMs read when their timers end.
    Advance { millis: u64 },
    /// A target marks its entry as draining.
    Drain { target: usize },
    /// A target's entry is removed.
    Remove { target: usize },
    /// A target writes its entry again without a change.
    Heartbeat { target: usize },
    /// A target whose entry was removed starts again.
    Join { target: usize },
    /// The store drops its history, so that the next read of each VM is a full one.
    Compact,
    /// The store answers late from now on, or as usual again.
    SetSlow { is_slow: bool },
    /// The last update that a VM relayed arrives at another VM, for the first time or again.
    Deliver { from: usize, to: usize },
    /// A VM restarts with an empty list.
    Restart { vm: usize },
}

#[derive(Debug, Clone)]
struct Row {
    id: String,
    entry: Option<TargetEntry>,
    version: u64,
}

/// The end of one incarnation of a target.
#[derive(Debug, Clone, Copy)]
struct Leave {
    target: usize,
    born_ms: u64,
    at: Duration,
}

/// The store, and the times at which targets left.
#[derive(Debug, Clone)]
struct Store {
    now: Duration,
    version: u64,
    /// Changes up to this version have been dropped from the history.
    compacted: u64,
    is_slow: bool,
    rows: Vec<Row>,
    leaves: Vec<Leave>,
}

fn make_entry(target: usize, born_ms: u64) -> TargetEntry {
    TargetEntry {
        incarnation: Incarnation {
            id: format!("t{target}").into(),
            born_ms,
        },
        service: "cart".into(),
        addr: ([127, 0, 0, 1], 9_000 + target as u16).into(),
        domain: "d1".into(),
        slots: 3,
        is_draining: false,
        cold_left: Duration::ZERO,
    }
}

impl Store {
    fn write(&mut self, target: usize, change: impl FnOnce(&mut Option<TargetEntry>)) {
        self.version += 1;
        let row = &mut self.rows[target];
        change(&mut row.entry);
        row.version = self.version;
    }

    fn leave(&mut self, target: usize, born_ms: u64) {
        let is_known = self.find_leave(target, born_ms).is_some();
        if !is_known {
            let at = self.now;
            self.leaves.push(Leave {
                target,
                born_ms,
                at,
            });
        }
    }

    fn find_leave(&self, target: usize, born_ms: u64) -> Option<Duration> {
        let mut leaves = self.leaves.iter();
        let leave = leaves.find(|leave| (leave.target, leave.born_ms) == (target, born_ms))?;
        Some(leave.at)
    }

    /// Returns the incarnation in a target's row.
    fn get_born(&self, target: usize) -> Option<u64> {
        let entry = self.rows[target].entry.as_ref()?;
        Some(entry.incarnation.born_ms)
    }

    fn get_delay(&self) -> Duration {
        if self.is_slow {
            SLOW_DELAY
        } else {
            USUAL_DELAY
        }
    }

    /// Reads the changes after a version, or all entries if there is none or the
    /// history has been dropped.
    fn read(&self, after: Option<StoreVersion>) -> TargetListRead {
        let after = after.map(|after| after.number);
        let after = after.filter(|after| *after >= self.compacted);
        let mut read = TargetListRead {
            version: StoreVersion::new(1, self.version),
            is_full: after.is_none(),
            ..TargetListRead::default()
        };
        let is_changed = |row: &&Row| after.is_none_or(|after| row.version > after);
        for row in self.rows.iter().filter(is_changed) {
            match &row.entry {
                Some(entry) => read.entries.push(entry.clone()),
                None if after.is_some() => read.removed.push(row.id.as_str().into()),
                None => {}
            }
        }
        read
    }
}

impl ReferenceStateMachine for Store {
    type State = Store;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Store> {
        let rows = (0..TARGETS).map(|target| Row {
            id: format!("t{target}"),
            entry: Some(make_entry(target, 1)),
            version: target as u64 + 1,
        });
        Just(Store {
            now: Duration::ZERO,
            version: TARGETS as u64,
            rows: rows.collect(),
            compacted: 0,
            is_slow: false,
            leaves: Vec::new(),
        })
        .boxed()
    }

    fn transitions(_: &Store) -> BoxedStrategy<Transition> {
        let target = 0..TARGETS;
        prop_oneof![
            6 => (1u64..60).prop_map(|millis| Transition::Advance { millis: millis * 10 }),
            2 => target.clone().prop_map(|target| Transition::Drain { target }),
            1 => target.clone().prop_map(|target| Transition::Remove { target }),
            2 => target.clone().prop_map(|target| Transition::Heartbeat { target }),
            2 => target.prop_map(|target| Transition::Join { target }),
            1 => Just(Transition::Compact),
            1 => any::<bool>().prop_map(|is_slow| Transition::SetSlow { is_slow }),
            10 => (0..VMS, 0..VMS).prop_map(|(from, to)| Transition::Deliver { from, to }),
            1 => (0..VMS).prop_map(|vm| Transition::Restart { vm }),
        ]
        .boxed()
    }

    fn apply(mut store: Store, transition: &Transition) -> Store {
        match transition {
            Transition::Advance { millis } => store.now += Duration::from_millis(*millis),
            Transition::Drain { target } => {
                if let Some(born_ms) = store.get_born(*target) {
                    store.write(*target, |entry| {
                        if let Some(entry) = entry {
                            entry.is_draining = true;
                        }
                    });
                    store.leave(*target, born_ms);
                }
            }
            Transition::Remove { target } => {
                if let Some(born_ms) = store.get_born(*target) {
                    store.write(*target, |entry| *entry = None);
                    store.leave(*target, born_ms);
                }
            }
            Transition::Join { target } => {
                if store.get_born(*target).is_none() {
                    let born_ms = store.version + 1;
                    store.write(*target, |entry| *entry = Some(make_entry(*target, born_ms)));
                }
            }
            Transition::Compact => store.compacted = store.version,
            Transition::SetSlow { is_slow } => store.is_slow = *is_slow,
            Transition::Heartbeat { target } => {
                if store.rows[*target].entry.is_some() {
                    store.write(*target, |_| {});
                }
            }
            Transition::Deliver { .. } | Transition::Restart { .. } => {}
        }
        store
    }
}

struct PendingRead {
    sent_at: Duration,
    arrives_at: Duration,
    read: TargetListRead,
}

struct Vm {
    list: TargetList,
    /// The read in flight.
    pending_read: Option<PendingRead>,
    /// The last update that this VM relayed, and the time of its read.
    relayed: Option<(TargetListUpdate, Duration)>,
}

impl Vm {
    fn new() -> Self {
        Self {
            list: TargetList::new(BOUND),
            pending_read: None,
            relayed: None,
        }
    }
}

struct Fleet {
    start: Instant,
    now: Duration,
    vms: Vec<Vm>,
    rng_state: u32,
}

impl Fleet {
    /// Returns a turn with a pseudo-random number, so that the timers of VMs differ.
    fn draw(&mut self) -> ReadTurn {
        self.rng_state = self
            .rng_state
            .wrapping_mul(1_664_525)
            .wrapping_add(1_013_904_223);
        ReadTurn {
            rank: 9,
            draw: f64::from(self.rng_state >> 8) / f64::from(1 << 24),
        }
    }

    fn advance(&mut self, store: &Store) {
        while self.now < store.now {
            self.now += STEP;
            for index in 0..VMS {
                self.step(index, store);
            }
        }
    }

    fn step(&mut self, index: usize, store: &Store) {
        let (now, at) = (self.now, self.start + self.now);
        let draw = self.draw();
        let vm = &mut self.vms[index];
        if let Some(pending) = vm.pending_read.take_if(|read| read.arrives_at <= now) {
            let sent_at = self.start + pending.sent_at;
            let applied = vm
                .list
                .apply_read(at, sent_at, pending.read, draw, &mut Vec::new());
            if let Some(applied) = applied.filter(|applied| applied.is_relayable) {
                vm.relayed = Some((applied.update, pending.sent_at));
            }
        }
        let is_due = vm.list.has_gap() || vm.list.get_due().is_none_or(|due| due <= at);
        if vm.pending_read.is_none() && is_due {
            vm.pending_read = Some(PendingRead {
                sent_at: now,
                arrives_at: now + store.get_delay(),
                read: store.read(vm.list.get_version().filter(|_| !vm.list.needs_full_read())),
            });
        }
    }

    fn deliver(&mut self, from: usize, to: usize) {
        let Some((update, read_at)) = self.vms[from].relayed.clone().filter(|_| from != to) else {
            return;
        };
        let update = TargetListUpdate {
            age: self.now - read_at,
            ..update
        };
        let (at, draw) = (self.start + self.now, self.draw());
        let vm = &mut self.vms[to];
        let outcome = vm.list.apply_update(at, &update, draw, &mut Vec::new());
        if outcome != UpdateOutcome::Stale {
            vm.relayed = Some((update, read_at));
        }
    }
}

struct LeaveModel;

impl StateMachineTest for LeaveModel {
    type SystemUnderTest = Fleet;
    type Reference = Store;

    fn init_test(_: &Store) -> Fleet {
        Fleet {
            start: Instant::now(),
            now: Duration::ZERO,
            vms: (0..VMS).map(|_| Vm::new()).collect(),
            rng_state: 7,
        }
    }

    fn apply(mut fleet: Fleet, store: &Store, transition: Transition) -> Fleet {
        match transition {
            Transition::Advance { .. } => fleet.advance(store),
            Transition::Deliver { from, to } => fleet.deliver(from, to),
            Transition::Restart { vm } => fleet.vms[vm] = Vm::new(),
            Transition::Drain { .. }
            | Transition::Remove { .. }
            | Transition::Heartbeat { .. }
            | Transition::Join { .. }
            | Transition::Compact
            | Transition::SetSlow { .. } => {}
        }
        fleet
    }

    /// No VM uses a target later than the bound after it has left.
    fn check_invariants(fleet: &Fleet, store: &Store) {
        for (index, vm) in fleet.vms.iter().enumerate() {
            let at = fleet.start + fleet.now;
            let is_allowed = |spec: &&TargetSpec| {
                vm.list.check_send(at, &spec.get_incarnation()) == SendCheck::Allowed
            };
            let targets = vm.list.get_targets("cart", 10);
            for spec in targets.iter().filter(is_allowed) {
                let target: usize = spec.name[1..]
                    .parse()
                    .expect("each target name ends in its number");
                if let Some(left_at) = store.find_leave(target, spec.incarnation) {
                    let since = fleet.now.saturating_sub(left_at);
                    assert!(
                        since <= BOUND,
                        "vm {index} uses {} {since:?} after it left",
                        spec.name
                    );
                }
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    })]

    #[test]
    fn no_use_after_leave(sequential 1..120 => LeaveModel);
}
