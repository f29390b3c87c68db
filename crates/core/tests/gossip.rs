//! Gossip in fleets of any size.

use gentianridge_core::{
    DomainName, EventKind, GossipState, HeartbeatSummary, Membership, PeerView, VmName,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time between two gossip rounds of a VM without an update, as in the daemon.
const ROUND: Duration = Duration::from_millis(300);
/// Step of the simulated clock. A datagram arrives within the next step.
const STEP: Duration = Duration::from_millis(10);

struct Vm {
    gossip: GossipState,
    me: PeerView,
    next_round: Instant,
    has_failed: bool,
    /// True if the VM receives revision numbers and cannot read the revisions from the store.
    is_denied_by_store: bool,
}

/// VMs that exchange datagrams, of which `lost_percent` are lost.
struct Fleet {
    now: Instant,
    vms: Vec<Vm>,
    rng: Pcg32,
    lost_percent: u32,
    events: Vec<(usize, EventKind)>,
}

fn make_name(index: usize) -> VmName {
    format!("vm-{index:03}").into()
}

/// Failure domains of a fleet.
const DOMAINS: usize = 5;

fn make_domain(index: usize) -> DomainName {
    format!("d{}", index % DOMAINS).into()
}

fn make_addr(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_540))
}

fn get_index(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else {
        panic!("the fleet has IPv4 addresses");
    };
    let octets = addr.ip().octets();
    usize::from(octets[2]) * 250 + usize::from(octets[3])
}

impl Fleet {
    /// Starts a fleet whose VMs register one after the other and list the VMs before them.
    fn start(size: usize, lost_percent: u32, seed: u64) -> Self {
        let now = Instant::now();
        let mut rng = Pcg32::seed_from_u64(seed);
        let vms = (0..size)
            .map(|index| {
                let mut gossip = GossipState::new(make_name(index), rng.random());
                gossip.set_domain(make_domain(index));
                for earlier in 0..index {
                    gossip.add_registered(now, make_name(earlier), make_addr(earlier));
                }
                Vm {
                    gossip,
                    me: PeerView {
                        vm: make_name(index),
                        incarnation: 1,
                        seq: 0,
                        addr: make_addr(index),
                        operator_addr: None,
                        is_leaving: false,
                        revision: 1,
                        domain: make_domain(index),
                    },
                    next_round: now + ROUND.mul_f64(rng.random()),
                    has_failed: false,
                    is_denied_by_store: false,
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

    /// Lists all registered VMs once more on every VM.
    fn list_all(&mut self) {
        let size = self.vms.len();
        for vm in &mut self.vms {
            for index in 0..size {
                vm.gossip
                    .add_registered(self.now, make_name(index), make_addr(index));
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
            if !self.vms[index].has_failed && self.vms[index].next_round <= self.now {
                self.run_round(index);
            }
        }
    }

    fn run_round(&mut self, index: usize) {
        let now = self.now;
        let vm = &mut self.vms[index];
        vm.next_round = now + ROUND;
        let (events, _) = vm.gossip.tick(now);
        self.events
            .extend(events.into_iter().map(|event| (index, event)));
        let round_peers = vm.gossip.next_peers(now);
        for addr in round_peers.peers {
            self.send(index, get_index(addr));
        }
        for addr in round_peers.unconfirmed {
            self.send(index, get_index(addr));
            self.send(get_index(addr), index);
        }
    }

    fn send(&mut self, from: usize, to: usize) {
        let is_lost = self.rng.random_range(0..100) < self.lost_percent;
        if is_lost || self.vms[to].has_failed || self.vms[from].has_failed {
            return;
        }
        let now = self.now;
        let sender = &mut self.vms[from];
        sender.me.seq += 1;
        let newest = sender.me.revision.max(sender.gossip.get_newest_revision());
        let mut views = sender.gossip.choose_peer_views(now);
        views.push(sender.me.clone());
        let summaries = sender.gossip.choose_summaries(now);
        let receiver = &mut self.vms[to];
        for view in views {
            receiver.gossip.record_heartbeat(now, view);
        }
        for summary in summaries {
            receiver.gossip.record_summary(now, summary);
        }
        // A newer revision number is relayed at once, also by VMs that cannot read the revision.
        if receiver.gossip.record_revision(newest) && newest > receiver.me.revision {
            receiver.next_round = now + STEP;
            if !receiver.is_denied_by_store {
                receiver.me.revision = newest;
            }
        }
    }

    fn is_revision_everywhere(&self, revision: u64) -> bool {
        let served = self.vms.iter().filter(|vm| !vm.is_denied_by_store);
        served.clone().all(|vm| vm.me.revision == revision)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// A new revision of one VM reaches all others within three gossip rounds of 300 ms,
    /// in fleets of any size and with up to one datagram in ten lost.
    #[test]
    fn revision_reaches_all(size in 2usize..300, lost in 0u32..10, seed in any::<u64>()) {
        let mut fleet = Fleet::start(size, lost, seed);
        fleet.run(Duration::from_secs(12));
        let origin = size / 2;
        fleet.vms[origin].me.revision = 2;
        fleet.vms[origin].next_round = fleet.now;
        let started = fleet.now;
        while !fleet.is_revision_everywhere(2) {
            fleet.step();
            prop_assert!(fleet.now - started < 3 * ROUND, "not everywhere after {:?}", fleet.now - started);
        }
    }
}

/// Two thirds of the VMs cannot read the store and relay revision numbers; the other third
/// still receives a new revision in time.
#[test]
fn revision_via_denied_vms() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(46, 5, seed);
        fleet.run(Duration::from_secs(12));
        for (index, vm) in fleet.vms.iter_mut().enumerate() {
            vm.is_denied_by_store = index % 3 != 0;
        }
        fleet.vms[0].me.revision = 2;
        fleet.vms[0].next_round = fleet.now;
        let started = fleet.now;
        while !fleet.is_revision_everywhere(2) {
            fleet.step();
            let took = fleet.now - started;
            assert!(
                took < 3 * ROUND,
                "seed {seed}: not everywhere after {took:?}"
            );
        }
    }
}

/// A heartbeat summary updates the liveness of a VM and does not make an old view of it
/// current: a later view with a lower sequence number than the summary is still applied.
#[test]
fn summary_before_view() {
    let start = Instant::now();
    let mut membership = Membership::new("b".into());
    let view = |seq, revision| PeerView {
        vm: "a".into(),
        incarnation: 1,
        seq,
        addr: make_addr(1),
        operator_addr: None,
        is_leaving: false,
        revision,
        domain: "d1".into(),
    };
    membership.record_heartbeat(start, view(1, 1));
    let summary = HeartbeatSummary {
        peer: view(1, 1).get_digest(),
        seq: 9,
    };
    membership.record_summary(start, summary);
    membership.record_heartbeat(start, view(5, 2));
    assert_eq!(
        membership.get_newest().map(|newest| newest.revision),
        Some(2)
    );
    let summaries: Vec<HeartbeatSummary> = membership.get_summaries(start).collect();
    assert_eq!(summaries, [summary]);
}

/// In a fleet without failures no VM counts as silent, and every VM counts all VMs that share
/// the budgets.
#[test]
fn no_false_silence() {
    for size in [5, 46, 300] {
        let mut fleet = Fleet::start(size, 2, 7);
        fleet.run(Duration::from_secs(5));
        fleet.list_all();
        fleet.run(Duration::from_secs(10));
        fleet.events.clear();
        fleet.run(Duration::from_secs(60));
        let silent =
            |(_, event): &&(usize, EventKind)| matches!(event, EventKind::PeerSilent { .. });
        let silent_count = fleet.events.iter().filter(silent).count();
        assert_eq!(silent_count, 0, "{size} live VMs");
        let now = fleet.now;
        for vm in &mut fleet.vms {
            assert_eq!(usize::from(vm.gossip.count_vms(now)), size);
        }
    }
}

/// All VMs detect a failed VM and remove it later, and exactly one of them removes its rows.
#[test]
fn failed_vm_removed() {
    let mut fleet = Fleet::start(46, 2, 8);
    fleet.run(Duration::from_secs(15));
    fleet.events.clear();
    fleet.vms[7].has_failed = true;
    // The silence limit of 46 VMs is six times that of eight, and the last heartbeat of the
    // VM takes some rounds to reach all others.
    fleet.run(Membership::SILENCE * 6 + 10 * ROUND);
    let event = EventKind::PeerSilent { peer: make_name(7) };
    let detections = fleet
        .events
        .iter()
        .filter(|(_, detected)| *detected == event);
    assert_eq!(detections.count(), 45);
    let mut cleanup_owners = 0;
    let end = fleet.now + Membership::PEER_RETENTION;
    while fleet.now < end {
        fleet.step();
        let now = fleet.now;
        for vm in fleet.vms.iter_mut().filter(|vm| !vm.has_failed) {
            let (_, gone) = vm.gossip.tick(now);
            assert!(gone.iter().all(|vm| *vm == make_name(7)), "{gone:?}");
            cleanup_owners += gone
                .iter()
                .filter(|gone| vm.gossip.is_cleanup_owner(now, gone))
                .count();
        }
    }
    assert_eq!(cleanup_owners, 1);
}

/// A VM that is cut off from all peers still uses only its own share of common budgets.
#[test]
fn isolated_vm_share() {
    let mut fleet = Fleet::start(5, 0, 9);
    fleet.run(Duration::from_secs(5));
    for vm in &mut fleet.vms[1..] {
        vm.has_failed = true;
    }
    fleet.run(Duration::from_secs(30));
    let now = fleet.now;
    assert_eq!(fleet.vms[0].gossip.count_live(now), 0);
    assert_eq!(fleet.vms[0].gossip.count_vms(now), 5);
}

/// VMs that are registered and never send a message count as VMs at first, and are
/// removed later.
#[test]
fn unconfirmed_peers_removed() {
    let start = Instant::now();
    let mut gossip = GossipState::new("b".into(), 1);
    for vm in ["a", "b", "c"] {
        gossip.add_registered(start, vm.into(), make_addr(1));
    }
    assert_eq!(gossip.count_vms(start), 3);
    for _ in 0..8 {
        assert!(!gossip.next_peers(start).unconfirmed.is_empty());
    }
    let later = start + Membership::PEER_RETENTION;
    let (_, gone) = gossip.tick(later);
    assert_eq!(gone, ["a", "c"]);
    assert!(gone.iter().all(|vm| gossip.is_cleanup_owner(later, vm)));
    assert!(gossip.next_peers(later).unconfirmed.is_empty());
}

/// Guards against shares that are too large after several VMs were killed together: a VM that
/// starts was sent the live ones only, and divided budgets by them.
#[test]
fn size_of_peer() {
    let now = Instant::now();
    let mut survivor = GossipState::new(make_name(0), 1);
    for index in 1..5 {
        survivor.record_heartbeat(now, make_view(index));
    }
    assert_eq!(survivor.count_vms(now), 5);
    let later = now + Duration::from_secs(3);
    survivor.record_heartbeat(
        later,
        PeerView {
            seq: 2,
            ..make_view(1)
        },
    );
    survivor.tick(later);
    assert_eq!(survivor.count_live(later), 1);
    let absent = survivor.get_absent(later);
    let names: Vec<VmName> = absent.iter().map(|(vm, _)| vm.clone()).collect();
    assert_eq!(names, [2, 3, 4].map(make_name));
    let mut started = GossipState::new(make_name(4), 2);
    for view in survivor.get_live_views(later) {
        started.record_heartbeat(later, view);
    }
    started.record_heartbeat(later, make_view(0));
    assert_eq!(started.count_vms(later), 3, "of the live ones alone");
    for (vm, addr) in absent {
        started.add_absent(later, vm, addr);
    }
    assert_eq!(started.count_vms(later), 5);
    assert_eq!(started.get_staying(later).len(), 4);
    let mut other = GossipState::new(make_name(3), 3);
    other.record_size(later, u32::from(survivor.count_vms(later)));
    assert_eq!(other.count_vms(later), 5);
    assert!(started.get_absent(later).is_empty(), "named by a peer only");
}

/// A peer that states an absurd size changes shares by no more than the largest fleet.
#[test]
fn absurd_size() {
    let now = Instant::now();
    let mut gossip = GossipState::new(make_name(0), 1);
    gossip.record_size(now, u32::MAX);
    assert_eq!(usize::from(gossip.count_vms(now)), Membership::MAX_PEERS);
}

fn make_view(index: usize) -> PeerView {
    PeerView {
        vm: make_name(index),
        incarnation: 1,
        seq: 1,
        addr: make_addr(index),
        operator_addr: None,
        is_leaving: false,
        revision: 1,
        domain: make_domain(index),
    }
}
