//! One reading of the list of targets for the whole fleet.

use gentianridge_core::{RefreshTimer, UpdateOutcome};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const BOUND: Duration = Duration::from_millis(2_000);

#[test]
fn gap() {
    let now = Instant::now();
    let mut refresh = RefreshTimer::new(BOUND);
    assert_eq!(
        refresh.check_update(now, 1, 2, 0.5),
        UpdateOutcome::Gap,
        "nothing is known yet"
    );
    refresh.record_read(now, 10, 0.5);
    assert_eq!(
        refresh.check_update(now, 9, 12, 0.5),
        UpdateOutcome::Applied
    );
    assert_eq!(refresh.check_update(now, 12, 12, 0.5), UpdateOutcome::Stale);
    let later = now + BOUND / 4;
    assert_eq!(
        refresh.check_update(later, 12, 12, 0.5),
        UpdateOutcome::Unchanged
    );
    assert_eq!(
        refresh.check_update(later, 5, 11, 0.5),
        UpdateOutcome::Stale
    );
    assert!(refresh.get_due().is_some());
    assert_eq!(refresh.check_update(now, 13, 15, 0.5), UpdateOutcome::Gap);
    assert_eq!(
        refresh.get_due(),
        None,
        "a missed word is made good at once"
    );
    assert!(refresh.has_gap());
    refresh.record_read(later, 15, 0.5);
    assert!(!refresh.has_gap());
    assert_eq!(refresh.check_update(later, 17, 18, 0.5), UpdateOutcome::Gap);
    refresh.set_overdue();
    assert!(!refresh.has_gap(), "after a failure everything is read");
    assert_eq!(refresh.get_due(), None);
}

/// A late word of a slow peer must not make an old list count as fresh.
#[test]
fn late_word() {
    let now = Instant::now();
    let mut refresh = RefreshTimer::new(BOUND);
    refresh.record_read(now, 10, 0.0);
    let due = refresh.get_due();
    refresh.check_update(now + BOUND / 4, 3, 8, 1.0);
    assert_eq!(refresh.get_due(), due);
}

/// The same reading comes by several ways; the age of the list counts from the
/// reading, not from the last word of it.
#[test]
fn told_again() {
    let now = Instant::now();
    let mut refresh = RefreshTimer::new(BOUND);
    refresh.record_read(now, 10, 0.0);
    let read_at = now + BOUND / 4;
    assert_eq!(
        refresh.check_update(read_at, 10, 11, 0.0),
        UpdateOutcome::Applied
    );
    let due = refresh.get_due();
    let by_detour = read_at + Duration::from_millis(20);
    assert_eq!(
        refresh.check_update(by_detour, 10, 11, 1.0),
        UpdateOutcome::Stale
    );
    assert_eq!(refresh.get_due(), due);
}

/// A peer's word may come while this VM's own call is under way: what it told
/// is no news of the call, and a call that it overtook says nothing.
#[test]
fn word_during_a_call() {
    let now = Instant::now();
    let mut refresh = RefreshTimer::new(BOUND);
    assert_eq!(refresh.record_read(now, 10, 0.5), None);
    let later = now + BOUND / 4;
    assert_eq!(
        refresh.check_update(later, 10, 12, 0.5),
        UpdateOutcome::Applied
    );
    assert!(refresh.is_overtaken(11));
    assert!(!refresh.is_overtaken(12));
    assert_eq!(refresh.record_read(later, 13, 0.5), Some(12));
}

proptest! {
    /// Whatever words get lost and whichever VM falls silent, no VM's list gets
    /// older than the bound allows, and the fleet reads little more than one VM would.
    #[test]
    fn age_and_calls(
        vms in 2usize..50,
        lost in 0u32..40,
        dead in 0usize..50,
        seed in any::<u64>(),
    ) {
        use rand::{RngExt, SeedableRng};
        let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
        let start = Instant::now();
        let mut fleet: Vec<RefreshTimer> = (0..vms).map(|_| RefreshTimer::new(BOUND)).collect();
        let mut fresh = vec![start; vms];
        let mut version = 1;
        for refresh in &mut fleet {
            refresh.record_read(start, version, rng.random());
        }
        let mut reads = 0;
        for step in 1..2_000u64 {
            let now = start + Duration::from_millis(5 * step);
            version += 1;
            for vm in 0..vms {
                if vm == dead || fleet[vm].get_due().is_some_and(|due| due > now) {
                    continue;
                }
                reads += 1;
                let base = fleet[vm].get_version().unwrap();
                fleet[vm].record_read(now, version, rng.random());
                fresh[vm] = now;
                for peer in (0..vms).filter(|peer| *peer != vm && *peer != dead) {
                    if rng.random_range(0..100) >= lost {
                        let result = fleet[peer].check_update(now, base, version, rng.random());
                        if result != UpdateOutcome::Gap {
                            fresh[peer] = now;
                        }
                    }
                }
            }
            for vm in (0..vms).filter(|vm| *vm != dead) {
                prop_assert!(now - fresh[vm] <= BOUND.mul_f64(0.75));
            }
        }
        if lost == 0 {
            // 10 s in readings of at least 0.45 of the bound, and a double one now and then.
            prop_assert!(reads <= 24, "{} readings", reads);
        }
    }
}
