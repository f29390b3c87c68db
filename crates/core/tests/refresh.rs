//! Reads of the target list that one VM makes and relays to the fleet.

use gentianridge_core::{ReadTurn, RefreshTimer, StoreVersion, UpdateOutcome};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const BOUND: Duration = Duration::from_millis(2_000);

/// Returns a version of the first era.
const fn at(number: u64) -> StoreVersion {
    StoreVersion::new(1, number)
}

/// Returns the turn of a VM that some others precede.
fn make_turn(draw: f64) -> ReadTurn {
    ReadTurn { rank: 9, draw }
}

#[test]
fn gap_detected() {
    let now = Instant::now();
    let mut timer = RefreshTimer::new(BOUND);
    assert_eq!(
        timer.check_update(now, at(1), at(2), make_turn(0.5)),
        UpdateOutcome::Gap,
        "this VM has not read the list yet"
    );
    timer.record_read(now, at(10), make_turn(0.5));
    assert_eq!(
        timer.check_update(now, at(9), at(12), make_turn(0.5)),
        UpdateOutcome::Applied
    );
    assert_eq!(
        timer.check_update(now, at(12), at(12), make_turn(0.5)),
        UpdateOutcome::Stale
    );
    let later = now + BOUND / 4;
    assert_eq!(
        timer.check_update(later, at(12), at(12), make_turn(0.5)),
        UpdateOutcome::Unchanged
    );
    assert_eq!(
        timer.check_update(later, at(5), at(11), make_turn(0.5)),
        UpdateOutcome::Stale
    );
    assert!(timer.get_due().is_some());
    assert_eq!(
        timer.check_update(now, at(13), at(15), make_turn(0.5)),
        UpdateOutcome::Gap
    );
    assert!(timer.has_gap(), "a change is missing");
    timer.record_read(later, at(15), make_turn(0.5));
    assert!(!timer.has_gap());
    assert_eq!(
        timer.check_update(later, at(17), at(18), make_turn(0.5)),
        UpdateOutcome::Gap
    );
    timer.set_overdue();
    assert_eq!(timer.get_due(), None);
    timer.record_read(later, at(18), make_turn(0.5));
    assert!(!timer.has_gap());
}

/// A late update of a slow peer must not make an old list count as fresh.
#[test]
fn late_update_ignored() {
    let now = Instant::now();
    let mut timer = RefreshTimer::new(BOUND);
    timer.record_read(now, at(10), make_turn(0.0));
    let due = timer.get_due();
    timer.check_update(now + BOUND / 4, at(3), at(8), make_turn(1.0));
    assert_eq!(timer.get_due(), due);
}

/// The update of one read arrives over several peers. The age of the list counts from the
/// read, not from the last of these messages.
#[test]
fn duplicate_update_ignored() {
    let now = Instant::now();
    let mut timer = RefreshTimer::new(BOUND);
    timer.record_read(now, at(10), make_turn(0.0));
    let read_at = now + BOUND / 4;
    assert_eq!(
        timer.check_update(read_at, at(10), at(11), make_turn(0.0)),
        UpdateOutcome::Applied
    );
    let due = timer.get_due();
    let relayed_at = read_at + Duration::from_millis(20);
    assert_eq!(
        timer.check_update(relayed_at, at(10), at(11), make_turn(1.0)),
        UpdateOutcome::Stale
    );
    assert_eq!(timer.get_due(), due);
}

/// A peer's update may arrive during this VM's own read. The VM then relays only changes
/// after that update, and drops a read that is older than the update.
#[test]
fn update_during_read() {
    let now = Instant::now();
    let mut timer = RefreshTimer::new(BOUND);
    assert_eq!(timer.record_read(now, at(10), make_turn(0.5)), None);
    let later = now + BOUND / 4;
    assert_eq!(
        timer.check_update(later, at(10), at(12), make_turn(0.5)),
        UpdateOutcome::Applied
    );
    assert!(timer.is_overtaken(at(11)));
    assert!(!timer.is_overtaken(at(12)));
    assert_eq!(
        timer.record_read(later, at(13), make_turn(0.5)),
        Some(at(12))
    );
}

/// A read of an earlier era is older than the list whatever its number, and an update that
/// leads into a new era follows a list of the one before.
#[test]
fn era_before_number() {
    let now = Instant::now();
    let mut timer = RefreshTimer::new(BOUND);
    timer.record_read(now, at(900), make_turn(0.5));
    let later = now + BOUND / 4;
    let returned = StoreVersion::new(2, 700);
    assert!(!timer.is_overtaken(returned));
    assert_eq!(
        timer.check_update(later, at(900), returned, make_turn(0.5)),
        UpdateOutcome::Applied
    );
    assert!(timer.is_overtaken(at(950)));
    let base = StoreVersion::new(2, 705);
    assert_eq!(
        timer.check_update(later, base, StoreVersion::new(2, 710), make_turn(0.5)),
        UpdateOutcome::Gap
    );
    assert!(timer.has_gap());
}

proptest! {
    /// Whichever updates are lost and whichever VM stops, no VM's list exceeds the age bound,
    /// and the fleet makes few more reads than a single VM.
    #[test]
    fn age_and_reads(
        vms in 2usize..50,
        lost_percent in 0u32..40,
        stopped_vm in 0usize..50,
        seed in any::<u64>(),
    ) {
        use rand::{RngExt, SeedableRng};
        let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
        let start = Instant::now();
        let mut fleet: Vec<RefreshTimer> = (0..vms).map(|_| RefreshTimer::new(BOUND)).collect();
        let mut read_at = vec![start; vms];
        let mut version = 1;
        for timer in &mut fleet {
            timer.record_read(start, at(version), make_turn(rng.random()));
        }
        let mut reads = 0;
        for step in 1..2_000u64 {
            let now = start + Duration::from_millis(5 * step);
            version += 1;
            for vm in 0..vms {
                if vm == stopped_vm || fleet[vm].get_due().is_some_and(|due| due > now) {
                    continue;
                }
                reads += 1;
                let base = fleet[vm].get_version().unwrap();
                // The VMs read in the order of their numbers.
                let mut get_turn = |peer: usize| ReadTurn {
                    rank: peer,
                    draw: rng.random(),
                };
                fleet[vm].record_read(now, at(version), get_turn(vm));
                let turns: Vec<ReadTurn> = (0..vms).map(get_turn).collect();
                read_at[vm] = now;
                for peer in (0..vms).filter(|peer| *peer != vm && *peer != stopped_vm) {
                    if rng.random_range(0..100) >= lost_percent {
                        let outcome = fleet[peer].check_update(now, base, at(version), turns[peer]);
                        if outcome != UpdateOutcome::Gap {
                            read_at[peer] = now;
                        }
                    }
                }
            }
            for vm in (0..vms).filter(|vm| *vm != stopped_vm) {
                prop_assert!(now - read_at[vm] <= BOUND.mul_f64(0.75));
            }
        }
        if lost_percent == 0 {
            // In 10 s, reads are a cycle of 400 ms apart, with an occasional duplicate.
            prop_assert!(reads <= 27, "{} reads", reads);
        }
    }
}
