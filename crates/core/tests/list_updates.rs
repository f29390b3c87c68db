//! Updates of the target list between VMs, announcements of leaves and pauses.

use gentianridge_core::{
    Directory, Incarnation, LeavingTargets, NoticeQueue, PausedTargets, ReadTurn, SendCheck,
    StoreVersion, TargetEntry, TargetList, TargetListRead, UpdateOutcome,
};
use std::time::{Duration, Instant};

const BOUND: Duration = Duration::from_secs(2);

/// Returns a version of the first era.
const fn at(number: u64) -> StoreVersion {
    StoreVersion::new(1, number)
}

fn make_entry(id: &str) -> TargetEntry {
    TargetEntry {
        incarnation: make_incarnation(id),
        service: "cart".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        domain: "d1".into(),
        slots: 3,
        is_draining: false,
        cold_left: Duration::ZERO,
    }
}

fn make_incarnation(id: &str) -> Incarnation {
    Incarnation {
        id: id.into(),
        born_ms: 1,
    }
}

/// A VM with its clock.
struct Vm {
    list: TargetList,
    now: Instant,
}

impl Vm {
    fn new(now: Instant) -> Self {
        Self {
            list: TargetList::new(BOUND),
            now,
        }
    }

    fn read(&mut self, read: TargetListRead) -> gentianridge_core::AppliedRead {
        let changed = &mut Vec::new();
        let applied = self
            .list
            .apply_read(self.now, self.now, read, ReadTurn::first(), changed);
        applied.expect("no update from a peer is newer")
    }

    fn read_all(&mut self, version: u64, ids: &[&str]) -> gentianridge_core::AppliedRead {
        self.read(TargetListRead {
            version: at(version),
            is_full: true,
            entries: ids.iter().map(|id| make_entry(id)).collect(),
            ..TargetListRead::default()
        })
    }

    fn apply(&mut self, update: &gentianridge_core::TargetListUpdate) -> UpdateOutcome {
        let changed = &mut Vec::new();
        self.list
            .apply_update(self.now, update, ReadTurn::first(), changed)
    }

    fn get_names(&self) -> Vec<String> {
        let targets = self.list.get_targets("cart", 10);
        targets
            .iter()
            .filter(|t| !t.drain)
            .map(|t| t.name.to_string())
            .collect()
    }
}

/// A target that was registered and removed between two full reads of one VM is in no
/// update of it. A VM that listed the target meanwhile detects that, and a full read heals
/// its list.
#[test]
fn unseen_target_detected() {
    let now = Instant::now();
    let (mut sender, mut receiver) = (Vm::new(now), Vm::new(now));
    sender.read_all(10, &["a"]);
    receiver.read_all(11, &["a", "brief"]);
    let update = sender.read_all(12, &["a", "b"]).update;
    assert_eq!(update.base, at(10));
    assert_eq!(receiver.apply(&update), UpdateOutcome::Gap);
    assert_eq!(receiver.list.get_version(), Some(at(11)));
    assert!(receiver.list.needs_full_read());
    receiver.read_all(12, &["a", "b"]);
    assert!(!receiver.list.needs_full_read());
    assert_eq!(receiver.get_names(), sender.get_names());
    assert_eq!(receiver.list.get_digest(), sender.list.get_digest());
}

/// The removal of a target that the sender never listed is part of its update.
#[test]
fn unlisted_removal_relayed() {
    let now = Instant::now();
    let (mut sender, mut receiver) = (Vm::new(now), Vm::new(now));
    sender.read_all(10, &["a"]);
    receiver.read_all(11, &["a", "brief"]);
    let read = TargetListRead {
        version: at(12),
        removed: vec!["brief".into()],
        ..TargetListRead::default()
    };
    let update = sender.read(read).update;
    assert_eq!(receiver.apply(&update), UpdateOutcome::Applied);
    assert_eq!(receiver.get_names(), ["a"]);
}

/// Lists are equal whichever of them were read in full and whichever were updated.
#[test]
fn update_after_update() {
    let now = Instant::now();
    let (mut sender, mut receiver) = (Vm::new(now), Vm::new(now));
    sender.read_all(10, &["a", "b", "c"]);
    receiver.read_all(10, &["a", "b", "c"]);
    let mut draining = make_entry("b");
    draining.is_draining = true;
    let read = TargetListRead {
        version: at(14),
        entries: vec![draining, make_entry("d")],
        removed: vec!["a".into()],
        ..TargetListRead::default()
    };
    let update = sender.read(read).update;
    assert_eq!(receiver.apply(&update), UpdateOutcome::Applied);
    // A duplicate is recognized and changes nothing.
    assert_eq!(receiver.apply(&update), UpdateOutcome::Stale);
    assert_eq!(receiver.get_names(), ["c", "d"]);
    assert_eq!(receiver.list.get_digest(), sender.list.get_digest());
}

/// An entry that cannot be decoded and replaces that of a running target does not take the
/// target out of use, in a full read and in an incremental one, and the lists of VMs that
/// read it differently count as equal.
#[test]
fn unreadable_entry_keeps_target() {
    let now = Instant::now();
    let (mut full, mut incremental, mut late) = (Vm::new(now), Vm::new(now), Vm::new(now));
    full.read_all(10, &["a", "b"]);
    incremental.read_all(10, &["a", "b"]);
    full.read(TargetListRead {
        version: at(11),
        is_full: true,
        entries: vec![make_entry("a")],
        unreadable: vec!["b".into()],
        ..TargetListRead::default()
    });
    let update = incremental.read(TargetListRead {
        version: at(11),
        unreadable: vec!["b".into()],
        ..TargetListRead::default()
    });
    assert_eq!(full.get_names(), ["a", "b"]);
    assert_eq!(incremental.get_names(), ["a", "b"]);
    late.read_all(11, &["a"]);
    assert_eq!(late.list.get_digest(), full.list.get_digest());
    assert_eq!(late.list.get_digest(), incremental.list.get_digest());
    let mut receiver = Vm::new(now);
    receiver.read_all(10, &["a", "b"]);
    assert_eq!(receiver.apply(&update.update), UpdateOutcome::Applied);
    assert_eq!(receiver.list.get_digest(), full.list.get_digest());
}

/// The age of the list counts from the time at which a read was sent, since a slow answer
/// does not contain what the store acknowledged after the call.
#[test]
fn age_of_slow_read() {
    let sent_at = Instant::now();
    let mut vm = Vm::new(sent_at + Duration::from_millis(1_200));
    let read = TargetListRead {
        version: at(3),
        is_full: true,
        entries: vec![make_entry("a")],
        ..TargetListRead::default()
    };
    let applied = vm
        .list
        .apply_read(vm.now, sent_at, read, ReadTurn::first(), &mut Vec::new());
    assert_eq!(applied.unwrap().update.age, Duration::from_millis(1_200));
    assert_eq!(vm.list.get_age(vm.now), Some(Duration::from_millis(1_200)));
    assert!(vm.list.get_due().unwrap() < vm.now);
}

/// A request is sent only by a list that is younger than the bound.
#[test]
fn outdated_list_holds_requests() {
    let mut vm = Vm::new(Instant::now());
    vm.read_all(3, &["a"]);
    let check =
        |vm: &Vm, after: Duration| vm.list.check_send(vm.now + after, &make_incarnation("a"));
    assert_eq!(check(&vm, BOUND / 2), SendCheck::Allowed);
    assert_eq!(check(&vm, BOUND), SendCheck::Outdated);
    assert_eq!(
        vm.list.check_send(vm.now, &make_incarnation("unknown")),
        SendCheck::Withdrawn
    );
}

/// An announced leave lasts as long as the incarnation, also if an old list still names the
/// target as ready or drops it and lists it again.
#[test]
fn announced_leave_lasts() {
    let mut vm = Vm::new(Instant::now());
    vm.read_all(3, &["a", "b"]);
    let (leaving, changed) = (make_incarnation("a"), &mut Vec::new());
    assert!(
        vm.list
            .record_leaving(vm.now, leaving.get_digest(), changed)
    );
    assert_eq!(changed.as_slice(), ["cart"]);
    assert!(
        !vm.list
            .record_leaving(vm.now, leaving.get_digest(), changed)
    );
    vm.read_all(4, &["a", "b"]);
    vm.read_all(5, &["b"]);
    vm.read_all(6, &["a", "b"]);
    assert_eq!(vm.get_names(), ["b"]);
    assert_eq!(vm.list.check_send(vm.now, &leaving), SendCheck::Withdrawn);
    let mut reborn = make_entry("a");
    reborn.incarnation.born_ms = 2;
    vm.read(TargetListRead {
        version: at(7),
        entries: vec![reborn],
        ..TargetListRead::default()
    });
    assert_eq!(vm.get_names(), ["a", "b"]);
}

/// An announcement that arrives before the entry of the target applies to it later.
#[test]
fn leave_before_entry() {
    let mut vm = Vm::new(Instant::now());
    vm.read_all(3, &["b"]);
    let digest = make_incarnation("a").get_digest();
    assert!(vm.list.record_leaving(vm.now, digest, &mut Vec::new()));
    vm.read_all(4, &["a", "b"]);
    assert_eq!(vm.get_names(), ["b"]);
}

#[test]
fn bounded_announcements() {
    let now = Instant::now();
    let mut leaving = LeavingTargets::default();
    for digest in 0..LeavingTargets::MAX_TARGETS as u64 + 10 {
        assert!(leaving.record(now + Duration::from_millis(digest), digest));
    }
    assert!(leaving.record(now, 3), "the oldest were dropped");
    leaving.expire(now + LeavingTargets::RETENTION + Duration::from_secs(60));
    assert!(leaving.record(now, 4_100), "all have expired");
}

/// A pause is neither ended by a shorter one nor longer than the maximum.
#[test]
fn bounded_pauses() {
    let now = Instant::now();
    let target = make_incarnation("a");
    let digest = target.get_digest();
    let mut paused = PausedTargets::default();
    assert_eq!(paused.get_end(&target), None);
    assert!(paused.record(now, digest, Duration::from_secs(5)));
    assert!(!paused.record(now, digest, Duration::from_secs(2)));
    assert_eq!(paused.get_end(&target), Some(now + Duration::from_secs(5)));
    assert!(paused.record(now, digest, Duration::MAX));
    assert_eq!(
        paused.get_end(&target),
        Some(now + PausedTargets::MAX_PAUSE)
    );
}

/// A pause outlasts a change of the list and applies only to the incarnation that requested it.
#[test]
fn pause_outlasts_list() {
    let mut vm = Vm::new(Instant::now());
    vm.read_all(3, &["a"]);
    let paused = make_incarnation("a");
    let pause = Duration::from_secs(1);
    assert!(
        vm.list
            .record_pause_request(vm.now, &paused, pause, &mut Vec::new())
    );
    vm.read_all(4, &[]);
    vm.read_all(5, &["a"]);
    assert_eq!(vm.list.check_send(vm.now, &paused), SendCheck::Paused);
    let targets = vm.list.get_targets("cart", 10);
    assert_eq!(targets[0].paused_until, Some(vm.now + pause));
    let later = vm.now + pause;
    assert_eq!(vm.list.check_send(later, &paused), SendCheck::Allowed);
}

/// Each notice is sent in a few rounds, a limited number in each, the newest first.
#[test]
fn notice_rounds() {
    let mut queue = NoticeQueue::default();
    for digest in 0..40 {
        queue.push(digest);
    }
    let first = queue.next_round();
    assert_eq!(first.len(), NoticeQueue::MAX_IN_MESSAGE);
    assert_eq!(first[0], 39);
    let mut counts = [0; 40];
    for digest in first {
        counts[digest as usize] += 1;
    }
    while !queue.is_empty() {
        for digest in queue.next_round() {
            counts[digest as usize] += 1;
        }
    }
    assert!(counts.iter().all(|count| *count == NoticeQueue::ROUNDS));
}

/// The first read of an era whose copy holds these targets.
fn make_return(number: u64, entries: Vec<TargetEntry>) -> TargetListRead {
    TargetListRead {
        version: StoreVersion::new(2, number),
        is_full: true,
        entries,
        ..TargetListRead::default()
    }
}

/// Guards against discarding the reads of a returned store until its versions have passed
/// those of before: the list aged, and nobody followed new or draining targets.
#[test]
fn lower_versions_after_return() {
    let now = Instant::now();
    let (mut reader, mut peer) = (Vm::new(now), Vm::new(now));
    reader.read_all(900, &["a", "b"]);
    peer.read_all(900, &["a", "b"]);
    let mut draining = make_entry("a");
    draining.is_draining = true;
    let entries = vec![draining, make_entry("b"), make_entry("c")];
    let applied = reader.read(make_return(700, entries));
    assert!(applied.is_relayable);
    assert_eq!(reader.get_names(), ["b", "c"]);
    assert_eq!(peer.apply(&applied.update), UpdateOutcome::Applied);
    assert_eq!(peer.get_names(), ["b", "c"]);
    let late = TargetListRead {
        version: at(950),
        removed: vec!["b".into()],
        ..TargetListRead::default()
    };
    let read = peer
        .list
        .apply_read(now, now, late, ReadTurn::first(), &mut Vec::new());
    assert_eq!(read, None, "an earlier era is older");
}

/// Changes of a new era without their base mix two eras, so that the list is read in full.
#[test]
fn changes_without_base() {
    let mut vm = Vm::new(Instant::now());
    vm.read_all(900, &["a"]);
    let changes = TargetListRead {
        version: StoreVersion::new(2, 901),
        entries: vec![make_entry("b")],
        ..TargetListRead::default()
    };
    let read = vm
        .list
        .apply_read(vm.now, vm.now, changes, ReadTurn::first(), &mut Vec::new());
    assert_eq!(read, None);
    assert!(vm.list.needs_full_read());
    assert_eq!(vm.get_names(), ["a"]);
}

/// A target that the copy lacks stays in use until it had time to register again, on the
/// reader and on its peers.
#[test]
fn lost_in_copy() {
    for registers in [true, false] {
        let now = Instant::now();
        let (mut reader, mut peer) = (Vm::new(now), Vm::new(now));
        for vm in [&mut reader, &mut peer] {
            vm.read_all(900, &["a", "b", "c", "new"]);
        }
        let copy = ["a", "b", "c"].map(make_entry).to_vec();
        let update = reader.read(make_return(700, copy)).update;
        assert_eq!(peer.apply(&update), UpdateOutcome::Applied);
        for vm in [&reader, &peer] {
            assert_eq!(vm.get_names(), ["a", "b", "c", "new"]);
            let check = vm.list.check_send(now, &make_incarnation("new"));
            assert_eq!(check, SendCheck::Allowed);
        }
        if registers {
            let written = TargetListRead {
                version: StoreVersion::new(2, 701),
                entries: vec![make_entry("new")],
                ..TargetListRead::default()
            };
            let update = reader.read(written).update;
            assert_eq!(peer.apply(&update), UpdateOutcome::Applied);
        }
        for vm in [&mut reader, &mut peer] {
            vm.list
                .expire(now + Directory::SETTLE_PERIOD, &mut Vec::new());
            let is_used = vm.get_names().contains(&"new".to_owned());
            assert_eq!(is_used, registers);
        }
    }
}

/// What has moved on never comes back with the copy: a target that had left or drains, and
/// an earlier incarnation.
#[test]
fn copy_lists_the_past() {
    let mut vm = Vm::new(Instant::now());
    vm.read_all(700, &["gone", "drains", "reborn", "stays"]);
    let mut draining = make_entry("drains");
    draining.is_draining = true;
    let mut reborn = make_entry("reborn");
    reborn.incarnation.born_ms = 2;
    vm.read(TargetListRead {
        version: at(900),
        entries: vec![draining, reborn.clone()],
        removed: vec!["gone".into()],
        ..TargetListRead::default()
    });
    let copy = ["gone", "drains", "reborn", "stays"].map(make_entry);
    vm.read(make_return(700, copy.to_vec()));
    assert_eq!(vm.get_names(), ["reborn", "stays"]);
    for incarnation in ["gone", "drains", "reborn"].map(make_incarnation) {
        let check = vm.list.check_send(vm.now, &incarnation);
        assert_eq!(check, SendCheck::Withdrawn, "{incarnation:?}");
    }
    let check = vm.list.check_send(vm.now, &reborn.incarnation);
    assert_eq!(check, SendCheck::Allowed);
}

/// The copy lists an earlier incarnation of a target that an earlier copy lacked: the target
/// stays listed and in use.
#[test]
fn earlier_incarnation_after_loss() {
    let mut vm = Vm::new(Instant::now());
    let mut reborn = make_entry("a");
    reborn.incarnation.born_ms = 2;
    vm.read_all(900, &["b"]);
    vm.read(TargetListRead {
        version: at(901),
        entries: vec![reborn.clone()],
        ..TargetListRead::default()
    });
    vm.read(make_return(700, vec![make_entry("b")]));
    let copy = TargetListRead {
        version: StoreVersion::new(3, 600),
        ..make_return(600, ["a", "b"].map(make_entry).to_vec())
    };
    vm.read(copy);
    let digest = vm.list.get_digest();
    vm.list
        .expire(vm.now + Directory::SETTLE_PERIOD, &mut Vec::new());
    assert_eq!(vm.list.get_digest(), digest);
    let check = vm.list.check_send(vm.now, &reborn.incarnation);
    assert_eq!(check, SendCheck::Allowed);
}

/// A target whose entry had expired is used again once it writes in the new era, and in any
/// case after a while.
#[test]
fn departed_returns() {
    for writes in [true, false] {
        let mut vm = Vm::new(Instant::now());
        vm.read_all(700, &["a", "b"]);
        vm.read_all(800, &["b"]);
        vm.read(make_return(700, ["a", "b"].map(make_entry).to_vec()));
        assert_eq!(vm.get_names(), ["b"]);
        if writes {
            vm.read(TargetListRead {
                version: StoreVersion::new(2, 701),
                entries: vec![make_entry("a")],
                ..TargetListRead::default()
            });
            assert_eq!(vm.get_names(), ["a", "b"]);
        }
        let end = vm.now + Directory::DEPARTED_HOLD;
        assert!(writes || vm.list.next_expiry().is_some_and(|at| at <= end));
        vm.list.expire(end, &mut Vec::new());
        assert_eq!(vm.get_names(), ["a", "b"]);
    }
}
