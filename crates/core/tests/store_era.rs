//! The era of the store in the view of one VM, and the order of versions.

use gentianridge_core::{
    ConfigProof, EraNotice, EraOrder, Proofs, StoreEra, StoreTime, StoreVersion,
};
use std::time::Duration;

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns the proofs of a VM whose clock is that of the store, with revision 4 in force.
fn make_proofs(now: Duration) -> Proofs {
    let mut proofs = Proofs::default();
    let time = StoreTime {
        earliest: now,
        latest: now,
    };
    proofs.record_time(now, now, time);
    proofs.set_revision(4);
    proofs
}

fn make_proof(era: u64, at: Duration) -> ConfigProof {
    ConfigProof {
        era,
        revision: 4,
        at,
    }
}

#[test]
fn era_before_number() {
    assert!(StoreVersion::new(2, 5) > StoreVersion::new(1, 900));
    assert!(StoreVersion::new(2, 5) < StoreVersion::new(2, 6));
    assert_eq!(StoreVersion::new(2, 5).to_string(), "2.5");
}

#[test]
fn order_of_answers() {
    let mut era = StoreEra::default();
    assert_eq!(era.observe(millis(10), 3), EraOrder::Current);
    assert_eq!(era.observe(millis(20), 3), EraOrder::Current);
    assert!(!era.is_restoring(millis(20)));
    assert_eq!(era.observe(millis(30), 5), EraOrder::Newer(3));
    assert_eq!(era.observe(millis(40), 4), EraOrder::Older(5));
    assert_eq!(era.observe(millis(40), 0), EraOrder::Older(5));
    assert_eq!(era.get(), 5);
    assert!(era.is_restoring(millis(40)));
    assert!(!era.is_restoring(millis(30) + StoreEra::RESTORE_TIME));
}

/// A peer's report of an era that does not exist keeps no answer of the store out.
#[test]
fn forged_notice() {
    let mut era = StoreEra::default();
    era.observe(millis(10), 1);
    for age in [None, Some(Duration::ZERO), Some(Duration::MAX)] {
        let notice = EraNotice { era: u64::MAX, age };
        era.adopt(millis(20), notice);
    }
    assert_eq!(era.observe(millis(30), 1), EraOrder::Current);
    assert_eq!(era.observe(millis(30), 2), EraOrder::Newer(1));
}

/// The earliest notice of a return counts, also for a VM that has just started.
#[test]
fn notices_of_peers() {
    let mut reader = StoreEra::default();
    reader.observe(millis(100), 1);
    reader.observe(millis(5_000), 2);
    let notice = reader.get_notice(millis(5_300));
    assert_eq!(
        notice,
        Some(EraNotice {
            era: 2,
            age: Some(millis(300))
        })
    );
    let mut starting = StoreEra::default();
    starting.adopt(millis(900), notice.unwrap());
    assert!(starting.is_restoring(millis(900)));
    assert_eq!(starting.observe(millis(950), 2), EraOrder::Current);
    let restored = Some(millis(600) + StoreEra::RESTORE_TIME);
    assert_eq!(starting.get_restored(2), restored);
    let mut late = StoreEra::default();
    late.observe(millis(100), 1);
    late.observe(millis(5_200), 2);
    late.adopt(millis(5_300), notice.unwrap());
    let restored = Some(millis(5_000) + StoreEra::RESTORE_TIME);
    assert_eq!(late.get_restored(2), restored);
}

/// A VM that has just started and receives an earlier era from a peer notices the return by
/// its first answer.
#[test]
fn earlier_era_of_peer() {
    let mut era = StoreEra::default();
    era.adopt(millis(10), EraNotice { era: 1, age: None });
    assert_eq!(era.observe(millis(20), 2), EraOrder::Newer(1));
    assert!(era.is_restoring(millis(20)));
}

/// Guards against proofs by reads that may lack an acknowledged revision.
#[test]
fn proofs_after_return() {
    let mut era = StoreEra::default();
    era.observe(millis(1_000), 1);
    let mut proofs = make_proofs(millis(1_000));
    proofs.record_read(&era, millis(2_000));
    era.observe(millis(3_000), 2);
    proofs.record_read(&era, millis(3_100));
    let held = proofs.get_newest().unwrap();
    assert_eq!((held.era, held.at <= millis(2_000)), (1, true));
    assert!(!proofs.adopt(&era, millis(4_000), make_proof(2, millis(3_500))));
    assert!(proofs.adopt(&era, millis(4_000), make_proof(1, millis(2_900))));
    assert!(!proofs.adopt(&era, millis(9_000), make_proof(0, millis(8_000))));
    proofs.record_read(&era, millis(5_100));
    assert_eq!(proofs.get_newest().unwrap().era, 2);
}

/// A VM that the store turns away learns from a peer that the store has eras, and takes no
/// proof from a peer that does not look at them.
#[test]
fn proof_without_era() {
    let mut era = StoreEra::default();
    let mut proofs = make_proofs(millis(1_000));
    assert!(proofs.adopt(&era, millis(4_000), make_proof(0, millis(3_000))));
    era.adopt(millis(4_000), EraNotice { era: 3, age: None });
    assert!(!proofs.adopt(&era, millis(4_000), make_proof(0, millis(3_500))));
    assert!(proofs.adopt(&era, millis(4_000), make_proof(3, millis(3_500))));
}

/// A store that states no era is read as before.
#[test]
fn no_eras() {
    let mut era = StoreEra::default();
    era.observe(millis(1_000), 0);
    assert_eq!(era.get_notice(millis(1_000)), None);
    let mut proofs = make_proofs(millis(1_000));
    proofs.record_read(&era, millis(2_000));
    assert!(proofs.adopt(&era, millis(4_000), make_proof(0, millis(3_000))));
}
