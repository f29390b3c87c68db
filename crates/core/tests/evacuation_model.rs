//! Emptied failure domains over a whole fleet, in a model with a virtual clock: messages that
//! are lost or late, cuts, pauses and restarts, and returns of the store from a copy.

use gentianridge_core::{
    EraNotice, Evacuations, Incarnation, ReadTurn, SendCheck, StoreEra, StoreVersion, TargetEntry,
    TargetList, TargetListRead,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(10);
/// Bound after the acknowledgement for VMs in touch.
const BOUND: Duration = Duration::from_secs(5);
/// Time for which a VM must have been without trouble to be in touch.
const STABLE: Duration = Duration::from_secs(3);
/// Latest time after the acknowledgement at which the middle VM, and the last one in touch,
/// obey.
const MIDDLE: Duration = Duration::from_millis(700);
const LAST: Duration = Duration::from_millis(1_500);
const ROUND: Duration = Duration::from_millis(300);
/// Longest time between two reads of the store by the VM that reads for the fleet.
const CYCLE_MS: u64 = 500;
const FANOUT: usize = 4;
const DOMAINS: usize = 3;

/// A guard that the model leaves out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// The newest message counts, whatever its version.
    NoVersions,
    /// A VM that learns of a change waits for its next round.
    NoRelay,
    /// A target is checked when it is chosen and not when the request is sent.
    NoSendCheck,
    /// Versions of different eras are compared by their numbers.
    NoEras,
    /// What the copy lacks is given up at once.
    NoHold,
}

struct Vm {
    list: TargetList,
    era: StoreEra,
    next_round: Instant,
    trouble_until: Instant,
    /// Requests with their domain and the time of their send.
    waiting: Vec<(usize, Instant)>,
}

struct Message {
    to: usize,
    at: Instant,
    set: Evacuations,
    era: Option<EraNotice>,
}

struct Model {
    start: Instant,
    now: Instant,
    vms: Vec<Vm>,
    messages: Vec<Message>,
    /// Orders of the operators, with the times of their acknowledgement.
    orders: Vec<(Instant, Vec<usize>)>,
    /// Version of the newest order in the store.
    version: StoreVersion,
    /// Order that the store's copy holds, and the time at which the newest one is written
    /// again.
    copy: Option<(usize, Instant)>,
    next_read: Instant,
    mutant: Mutant,
    rng: Pcg32,
    late_sends: usize,
}

fn name_domain(index: usize) -> String {
    format!("d{index}")
}

fn make_incarnation(domain: usize) -> Incarnation {
    Incarnation {
        id: format!("t{domain}").into(),
        born_ms: 1,
    }
}

fn make_list(now: Instant) -> TargetList {
    let mut list = TargetList::new(Duration::from_secs(3_600));
    let entries = (0..DOMAINS).map(|domain| TargetEntry {
        incarnation: make_incarnation(domain),
        service: "cart".into(),
        addr: "127.0.0.1:9001".parse().unwrap(),
        domain: name_domain(domain).into(),
        slots: 6,
        is_draining: false,
        cold_left: Duration::ZERO,
    });
    let read = TargetListRead {
        version: StoreVersion::new(1, 1),
        is_full: true,
        entries: entries.collect(),
        ..TargetListRead::default()
    };
    list.apply_read(now, now, read, ReadTurn::first(), &mut Vec::new());
    list
}

impl Model {
    fn new(count: usize, seed: u64, mutant: Mutant) -> Self {
        let now = Instant::now();
        let mut rng = Pcg32::seed_from_u64(seed);
        let vms = (0..count).map(|_| Vm {
            list: make_list(now),
            era: StoreEra::default(),
            next_round: now + ROUND.mul_f64(rng.random()),
            trouble_until: now,
            waiting: Vec::new(),
        });
        Self {
            start: now,
            now,
            vms: vms.collect(),
            messages: Vec::new(),
            orders: vec![(now, Vec::new())],
            version: StoreVersion::new(1, 100_000),
            copy: None,
            next_read: now,
            mutant,
            rng,
            late_sends: 0,
        }
    }

    fn set_emptied(&mut self, domains: &[usize]) {
        self.version.number += 10;
        self.orders.push((self.now, domains.to_vec()));
        self.copy = None;
    }

    /// Has the store return from a copy that holds an earlier order. Its versions are lower
    /// than those of before.
    fn return_store(&mut self) {
        let held = self.rng.random_range(0..self.orders.len());
        let missing = Duration::from_millis(self.rng.random_range(0..1_900));
        self.version = StoreVersion::new(self.version.era + 1, self.version.number - 200);
        self.copy = Some((held, self.now + missing));
    }

    /// Returns the set that the store holds now.
    fn get_stored(&mut self) -> Evacuations {
        if self.copy.is_some_and(|(_, until)| until <= self.now) {
            self.copy = None;
            self.version.number += 1;
        }
        let newest = self.orders.len() - 1;
        let order = self.copy.map_or(newest, |(held, _)| held);
        let domains = self.orders[order].1.iter();
        let names = domains.map(|domain| name_domain(*domain).into());
        Evacuations::new(self.version, names.collect())
    }

    /// Pauses or cuts off a VM, or replaces it by one that has the state of a peer.
    fn trouble(&mut self) {
        let index = self.rng.random_range(0..self.vms.len());
        let peer = self.rng.random_range(0..self.vms.len());
        let length = Duration::from_millis(self.rng.random_range(200..4_000));
        if self.rng.random_bool(0.3) {
            let set = self.vms[peer].list.get_emptied().get_message();
            let era = self.get_notice(peer);
            self.vms[index].list = make_list(self.now);
            self.vms[index].era = StoreEra::default();
            self.vms[index].waiting.clear();
            if let Some(set) = set {
                self.receive(index, set, era);
            }
        }
        self.vms[index].trouble_until = self.now + length;
    }

    fn get_clock(&self) -> Duration {
        self.now - self.start
    }

    fn get_notice(&self, vm: usize) -> Option<EraNotice> {
        self.vms[vm].era.get_notice(self.get_clock())
    }

    fn receive(&mut self, index: usize, mut set: Evacuations, era: Option<EraNotice>) {
        let clock = self.get_clock();
        let vm = &mut self.vms[index];
        if let Some(notice) = era {
            vm.era.adopt(clock, notice);
        }
        let restored = vm.era.get_restored(set.version.era);
        let restored = restored.filter(|_| self.mutant != Mutant::NoHold);
        let restored = restored.map(|at| self.start + at);
        match self.mutant {
            Mutant::NoVersions => {
                set.version = vm.list.get_emptied().get_version();
                set.version.number += 1;
            }
            Mutant::NoEras => set.version.era = 1,
            _ => {}
        }
        let list = &mut vm.list;
        let is_changed = list.apply_evacuations(self.now, set, restored, &mut Vec::new());
        if is_changed && self.mutant != Mutant::NoRelay {
            vm.next_round = self.now + STEP;
        }
    }

    fn read_store(&mut self) {
        let now = self.now;
        let reader = self.vms.iter().position(|vm| vm.trouble_until <= now);
        if self.next_read <= now
            && let Some(reader) = reader
        {
            let wait = self.rng.random_range(10..CYCLE_MS);
            self.next_read = now + Duration::from_millis(wait);
            let newest = self.get_stored();
            let clock = self.get_clock();
            self.vms[reader].era.observe(clock, newest.version.era);
            self.receive(reader, newest, None);
        }
    }

    fn send_rounds(&mut self) {
        for index in 0..self.vms.len() {
            let vm = &mut self.vms[index];
            if vm.next_round > self.now || vm.trouble_until > self.now {
                continue;
            }
            vm.next_round = self.now + ROUND;
            let Some(set) = vm.list.get_emptied().get_message() else {
                continue;
            };
            let era = self.get_notice(index);
            for _ in 0..FANOUT {
                let delay = match self.rng.random_range(0..100) {
                    0..10 => continue,
                    10..12 => self.rng.random_range(100..3_000),
                    _ => self.rng.random_range(1..20),
                };
                let to = self.rng.random_range(0..self.vms.len());
                let (at, set) = (self.now + Duration::from_millis(delay), set.clone());
                self.messages.push(Message { to, at, set, era });
            }
        }
    }

    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.at <= self.now);
        self.messages = later;
        let due: Vec<Message> = due;
        for message in due {
            // A message that arrives during a cut is lost.
            if self.vms[message.to].trouble_until <= self.now {
                self.receive(message.to, message.set, message.era);
            }
        }
    }

    fn send_requests(&mut self) {
        for index in 0..self.vms.len() {
            let domain = self.rng.random_range(0..DOMAINS);
            let wait = Duration::from_millis(self.rng.random_range(0..6_000));
            let (now, mutant) = (self.now, self.mutant);
            let vm = &mut self.vms[index];
            vm.list.expire(now, &mut Vec::new());
            let is_chosen = !vm.list.get_targets("cart", 10)[domain].is_emptied;
            if is_chosen && self.rng.random_bool(0.1) {
                vm.waiting.push((domain, now + wait));
            }
            for (domain, at) in std::mem::take(&mut vm.waiting) {
                if at > now {
                    vm.waiting.push((domain, at));
                    continue;
                }
                let check = vm.list.check_send(now, &make_incarnation(domain));
                let is_sent = check == SendCheck::Allowed || mutant == Mutant::NoSendCheck;
                let is_in_touch = vm.trouble_until + STABLE <= now;
                let is_late = is_emptied_since(&self.orders, now, domain, BOUND);
                self.late_sends += usize::from(is_sent && is_in_touch && is_late);
            }
        }
    }

    fn step(&mut self) {
        self.read_store();
        self.deliver();
        self.send_rounds();
        self.send_requests();
        self.now += STEP;
    }

    fn run(&mut self, time: Duration, has_trouble: bool) {
        let end = self.now + time;
        while self.now < end {
            if has_trouble && self.rng.random_bool(0.05) {
                self.trouble();
            }
            self.step();
        }
    }

    /// Returns the times until the middle VM and the last one know the newest set.
    fn measure_spread(&mut self) -> (Duration, Duration) {
        let begin = self.now;
        let newest = self.version;
        let mut times = Vec::new();
        while times.len() < self.vms.len() && self.now < begin + BOUND {
            self.step();
            let known = |vm: &&Vm| vm.list.get_emptied().get_version() >= newest;
            let count = self.vms.iter().filter(known).count();
            times.resize(count.max(times.len()), self.now - begin);
        }
        times.resize(self.vms.len(), BOUND);
        (times[times.len() / 2], times[times.len() - 1])
    }
}

/// Returns true if the domain has been emptied for longer than `time`.
fn is_emptied_since(
    orders: &[(Instant, Vec<usize>)],
    now: Instant,
    domain: usize,
    time: Duration,
) -> bool {
    let emptied = orders
        .iter()
        .rev()
        .take_while(|(_, domains)| domains.contains(&domain));
    emptied.last().is_some_and(|(at, _)| *at + time < now)
}

fn play(count: usize, seed: u64, mutant: Mutant) -> usize {
    let mut model = Model::new(count, seed, mutant);
    let orders: [&[usize]; 6] = [&[0], &[0, 1], &[1], &[], &[2], &[0, 1, 2]];
    for order in orders {
        model.set_emptied(order);
        model.run(Duration::from_secs(7), true);
        if model.rng.random_bool(0.6) {
            model.return_store();
            let time = model.rng.random_range(100..4_000);
            model.run(Duration::from_millis(time), true);
        }
    }
    model.late_sends
}

#[test]
fn no_late_send() {
    for (count, seeds) in [(5, 20), (41, 6), (124, 2), (300, 2)] {
        for seed in 0..seeds {
            let late = play(count, seed, Mutant::None);
            assert_eq!(late, 0, "{count} VMs, seed {seed}");
        }
    }
}

#[test]
fn guards_needed() {
    let mutants = [
        Mutant::NoVersions,
        Mutant::NoSendCheck,
        Mutant::NoEras,
        Mutant::NoHold,
    ];
    for mutant in mutants {
        let is_found = (0..4).any(|seed| play(41, seed, mutant) > 0);
        assert!(is_found, "{mutant:?} sends nothing late");
    }
}

#[test]
fn spread_in_time() {
    for count in [5, 41, 300] {
        for seed in 0..4 {
            let mut model = Model::new(count, seed, Mutant::None);
            model.run(Duration::from_secs(1), false);
            for order in [&[1][..], &[]] {
                model.set_emptied(order);
                let (middle, last) = model.measure_spread();
                assert!(middle <= MIDDLE, "{count} VMs: {middle:?} at the middle");
                assert!(last <= LAST, "{count} VMs: {last:?} at the last");
            }
        }
    }
}

/// A VM that sends what it learned at once reaches the last one sooner.
#[test]
fn relay_at_once() {
    let sum = |mutant| -> Duration {
        let spreads = (0..4).map(|seed| {
            let mut model = Model::new(300, seed, mutant);
            model.run(Duration::from_secs(1), false);
            model.set_emptied(&[1]);
            model.measure_spread().1
        });
        spreads.sum()
    };
    let (at_once, later) = (sum(Mutant::None), sum(Mutant::NoRelay));
    assert!(at_once < later, "{at_once:?} and {later:?}");
}
