//! Who is told what in fleets of any size.

use gentianridge_core::{EventKind, GossipState, HeartbeatSummary, Membership, PeerView, VmName};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time between two rounds of a VM without news, as the daemon has it.
const ROUND: Duration = Duration::from_millis(300);
/// Step of the simulated time; a datagram arrives within the next one.
const STEP: Duration = Duration::from_millis(10);

struct Vm {
    roster: GossipState,
    me: PeerView,
    next_round: Instant,
    is_dead: bool,
    /// It hears of configurations and cannot read them.
    is_turned_away: bool,
}

/// VMs that exchange datagrams, some of which get lost.
struct Fleet {
    now: Instant,
    vms: Vec<Vm>,
    rng: Pcg32,
    lost_percent: u32,
    events: Vec<(usize, EventKind)>,
}

fn name_of(index: usize) -> VmName {
    format!("vm-{index:03}").into()
}

fn addr_of(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_540))
}

fn index_of(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else {
        panic!("the fleet has IPv4 addresses");
    };
    let octets = addr.ip().octets();
    usize::from(octets[2]) * 250 + usize::from(octets[3])
}

impl Fleet {
    /// A fleet whose VMs register one after the other and see those before them.
    fn start(size: usize, lost_percent: u32, seed: u64) -> Self {
        let now = Instant::now();
        let mut rng = Pcg32::seed_from_u64(seed);
        let vms = (0..size)
            .map(|index| {
                let mut roster = GossipState::new(name_of(index), rng.random());
                for earlier in 0..index {
                    roster.add_registered(now, name_of(earlier), addr_of(earlier));
                }
                Vm {
                    roster,
                    me: PeerView {
                        vm: name_of(index),
                        incarnation: 1,
                        seq: 0,
                        addr: addr_of(index),
                        operator_addr: None,
                        is_leaving: false,
                        revision: 1,
                    },
                    next_round: now + ROUND.mul_f64(rng.random()),
                    is_dead: false,
                    is_turned_away: false,
                }
            })
            .collect();
        Self {
            now,
            vms,
            rng,
            lost_percent,
            events: Vec::new(),
        }
    }

    /// Every VM reads once more who registered.
    fn list_all(&mut self) {
        let size = self.vms.len();
        for vm in &mut self.vms {
            for index in 0..size {
                vm.roster
                    .add_registered(self.now, name_of(index), addr_of(index));
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for index in 0..self.vms.len() {
            if !self.vms[index].is_dead && self.vms[index].next_round <= self.now {
                self.run_round(index);
            }
        }
    }

    fn run_round(&mut self, index: usize) {
        let now = self.now;
        let vm = &mut self.vms[index];
        vm.next_round = now + ROUND;
        let (events, _) = vm.roster.tick(now);
        self.events
            .extend(events.into_iter().map(|event| (index, event)));
        let partners = vm.roster.next_peers(now);
        for addr in partners.peers {
            self.send(index, index_of(addr));
        }
        if let Some(addr) = partners.unconfirmed {
            self.send(index, index_of(addr));
            self.send(index_of(addr), index);
        }
    }

    fn send(&mut self, from: usize, to: usize) {
        let is_lost = self.rng.random_range(0..100) < self.lost_percent;
        if is_lost || self.vms[to].is_dead || self.vms[from].is_dead {
            return;
        }
        let now = self.now;
        let sender = &mut self.vms[from];
        sender.me.seq += 1;
        let newest = sender.me.revision.max(sender.roster.get_newest_revision());
        let mut told = sender.roster.choose_peer_views(now);
        told.push(sender.me.clone());
        let pulses = sender.roster.choose_summaries(now);
        let receiver = &mut self.vms[to];
        for view in told {
            receiver.roster.record_heartbeat(now, view);
        }
        for pulse in pulses {
            receiver.roster.record_summary(now, pulse);
        }
        // What is newer is told on at once, also by those who cannot read it.
        if receiver.roster.record_revision(newest) && newest > receiver.me.revision {
            receiver.next_round = now + STEP;
            if !receiver.is_turned_away {
                receiver.me.revision = newest;
            }
        }
    }

    fn is_known_everywhere(&self, revision: u64) -> bool {
        let served = self.vms.iter().filter(|vm| !vm.is_turned_away);
        served.clone().all(|vm| vm.me.revision == revision)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// News of one VM reaches all others within a few hundred milliseconds,
    /// however many they are and with one datagram in ten lost.
    #[test]
    fn news_everywhere(size in 2usize..300, lost in 0u32..10, seed in any::<u64>()) {
        let mut fleet = Fleet::start(size, lost, seed);
        fleet.run(Duration::from_secs(12));
        let origin = size / 2;
        fleet.vms[origin].me.revision = 2;
        fleet.vms[origin].next_round = fleet.now;
        let started = fleet.now;
        while !fleet.is_known_everywhere(2) {
            fleet.step();
            prop_assert!(fleet.now - started < 3 * ROUND, "not known after {:?}", fleet.now - started);
        }
    }
}

/// VMs that the store turns away pass on what they hear of: two thirds of the
/// fleet are, and the others still hear in time.
#[test]
fn news_through_others() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(46, 5, seed);
        fleet.run(Duration::from_secs(12));
        for (index, vm) in fleet.vms.iter_mut().enumerate() {
            vm.is_turned_away = index % 3 != 0;
        }
        fleet.vms[0].me.revision = 2;
        fleet.vms[0].next_round = fleet.now;
        let started = fleet.now;
        while !fleet.is_known_everywhere(2) {
            fleet.step();
            let took = fleet.now - started;
            assert!(took < 3 * ROUND, "seed {seed}: not known after {took:?}");
        }
    }
}

/// A word that a VM lives does not make an old description of it new.
#[test]
fn pulse_before_view() {
    let start = Instant::now();
    let mut membership = Membership::new("b".into());
    let view = |seq, revision| PeerView {
        vm: "a".into(),
        incarnation: 1,
        seq,
        addr: addr_of(1),
        operator_addr: None,
        is_leaving: false,
        revision,
    };
    membership.record_heartbeat(start, view(1, 1));
    let pulse = HeartbeatSummary {
        peer: view(1, 1).get_digest(),
        seq: 9,
    };
    membership.record_summary(start, pulse);
    membership.record_heartbeat(start, view(5, 2));
    assert_eq!(
        membership.get_newest().map(|newest| newest.revision),
        Some(2)
    );
    let pulses: Vec<HeartbeatSummary> = membership.get_summaries(start).collect();
    assert_eq!(pulses, [pulse]);
}

/// In a fleet without failures nobody is taken for gone, and everybody knows
/// how many share what is divided.
#[test]
fn steady_fleet() {
    for size in [5, 46, 300] {
        let mut fleet = Fleet::start(size, 2, 7);
        fleet.run(Duration::from_secs(5));
        fleet.list_all();
        fleet.run(Duration::from_secs(10));
        fleet.events.clear();
        fleet.run(Duration::from_secs(60));
        let silent =
            |(_, event): &&(usize, EventKind)| matches!(event, EventKind::PeerSilent { .. });
        let falsely = fleet.events.iter().filter(silent).count();
        assert_eq!(falsely, 0, "{size} VMs, none of them gone");
        let now = fleet.now;
        for vm in &mut fleet.vms {
            assert_eq!(usize::from(vm.roster.count_vms(now)), size);
        }
    }
}

/// A VM that is gone is noticed by all, forgotten later, and one VM clears away
/// what it left.
#[test]
fn gone_vm() {
    let mut fleet = Fleet::start(46, 2, 8);
    fleet.run(Duration::from_secs(15));
    fleet.events.clear();
    fleet.vms[7].is_dead = true;
    // The silence limit of 46 VMs is six times that of eight, and the last word
    // of the VM takes some rounds to everybody.
    fleet.run(Membership::SILENCE * 6 + 10 * ROUND);
    let event = EventKind::PeerSilent { peer: name_of(7) };
    let heard = fleet.events.iter().filter(|(_, found)| *found == event);
    assert_eq!(heard.count(), 45);
    let mut heirs = 0;
    let end = fleet.now + Membership::PEER_RETENTION;
    while fleet.now < end {
        fleet.step();
        let now = fleet.now;
        for vm in fleet.vms.iter_mut().filter(|vm| !vm.is_dead) {
            let (_, gone) = vm.roster.tick(now);
            assert!(gone.iter().all(|vm| *vm == name_of(7)), "{gone:?}");
            heirs += gone
                .iter()
                .filter(|gone| vm.roster.is_cleanup_owner(now, gone))
                .count();
        }
    }
    assert_eq!(heirs, 1);
}

/// A VM that is cut off goes on with its own part of shared budgets.
#[test]
fn cut_off() {
    let mut fleet = Fleet::start(5, 0, 9);
    fleet.run(Duration::from_secs(5));
    for vm in &mut fleet.vms[1..] {
        vm.is_dead = true;
    }
    fleet.run(Duration::from_secs(30));
    let now = fleet.now;
    assert_eq!(fleet.vms[0].roster.count_live(now), 0);
    assert_eq!(fleet.vms[0].roster.count_vms(now), 5);
}

/// Rows of VMs that never speak count as VMs at first, and are given up later.
#[test]
fn listed_only() {
    let start = Instant::now();
    let mut roster = GossipState::new("b".into(), 1);
    for vm in ["a", "b", "c"] {
        roster.add_registered(start, vm.into(), addr_of(1));
    }
    assert_eq!(roster.count_vms(start), 3);
    for _ in 0..8 {
        assert!(roster.next_peers(start).unconfirmed.is_some());
    }
    let later = start + Membership::PEER_RETENTION;
    let (_, gone) = roster.tick(later);
    assert_eq!(gone, ["a", "c"]);
    assert!(gone.iter().all(|vm| roster.is_cleanup_owner(later, vm)));
    assert_eq!(roster.next_peers(later).unconfirmed, None);
}
