//! Quarantine of requests that crash targets.

use gentianridge_core::{CrashRecord, Quarantine, QuarantineChange, VmName};
use std::time::{Duration, Instant};

const PERIOD: Duration = Duration::from_secs(600);

fn make_crash_record(vm: &str, count: u16, epoch: u16) -> CrashRecord {
    CrashRecord {
        fingerprint: 7,
        vm: vm.into(),
        count,
        epoch,
        age: Duration::ZERO,
    }
}

#[test]
fn second_crash_quarantines() {
    let now = Instant::now();
    let me = VmName::from("a");
    let mut quarantine = Quarantine::new(PERIOD);
    assert_eq!(quarantine.record_crash(now, &me, 7), None);
    let change = quarantine.record_crash(now, &me, 7);
    assert_eq!(change, Some(QuarantineChange::Quarantined(7)));
    assert!(quarantine.is_quarantined(7));
    assert!(!quarantine.is_quarantined(8));
}

#[test]
fn crashes_across_fleet() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(PERIOD);
    quarantine.record_crash(now, &"a".into(), 7);
    assert_eq!(
        quarantine.merge(now, &make_crash_record("b", 1, 0)),
        Some(QuarantineChange::Quarantined(7))
    );
}

#[test]
fn duplicate_record_ignored() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(PERIOD);
    quarantine.merge(now, &make_crash_record("b", 1, 0));
    assert_eq!(quarantine.merge(now, &make_crash_record("b", 1, 0)), None);
    assert!(
        !quarantine.is_quarantined(7),
        "a crash record that arrives twice counts once"
    );
}

#[test]
fn success_resets_count() {
    let now = Instant::now();
    let me = VmName::from("a");
    let mut quarantine = Quarantine::new(PERIOD);
    quarantine.record_crash(now, &me, 7);
    quarantine.record_success(&me, 7);
    assert_eq!(
        quarantine.record_crash(now, &me, 7),
        None,
        "a successful answer between two crashes resets the count"
    );
}

#[test]
fn reset_propagates() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(PERIOD);
    quarantine.merge(now, &make_crash_record("b", 1, 0));
    quarantine.merge(now, &make_crash_record("b", 0, 1));
    assert_eq!(quarantine.record_crash(now, &"a".into(), 7), None);
}

#[test]
fn quarantine_expires() {
    let now = Instant::now();
    let me = VmName::from("a");
    let mut quarantine = Quarantine::new(PERIOD);
    quarantine.record_crash(now, &me, 7);
    quarantine.record_crash(now, &me, 7);
    let changes = quarantine.expire(now + PERIOD);
    assert_eq!(changes, [QuarantineChange::Lifted(7)]);
    assert!(!quarantine.is_quarantined(7));
}

#[test]
fn operator_release() {
    let now = Instant::now();
    let me = VmName::from("a");
    let mut quarantine = Quarantine::new(PERIOD);
    quarantine.record_crash(now, &me, 7);
    quarantine.record_crash(now, &me, 7);
    assert_eq!(quarantine.release(7), Some(QuarantineChange::Lifted(7)));
    assert!(!quarantine.is_quarantined(7));
}

#[test]
fn bounded_table() {
    let start = Instant::now();
    let me = VmName::from("a");
    let mut quarantine = Quarantine::new(PERIOD);
    for fingerprint in 0..2_000 {
        let now = start + Duration::from_millis(fingerprint);
        quarantine.record_crash(now, &me, fingerprint);
    }
    let now = start + Duration::from_millis(2_000);
    assert_eq!(
        quarantine.get_crash_records(now, usize::MAX).len(),
        Quarantine::MAX_RECORDS
    );
}

/// Guards against counts of peers whose sum or successor no number holds: the request would
/// leave the quarantine.
#[test]
fn count_beyond_range() {
    let now = Instant::now();
    let me = VmName::from("a");
    let mut quarantine = Quarantine::new(PERIOD);
    quarantine.merge(now, &make_crash_record("a", u16::MAX, u16::MAX));
    quarantine.merge(now, &make_crash_record("b", u16::MAX, 0));
    assert!(quarantine.is_quarantined(7));
    quarantine.record_crash(now, &me, 7);
    assert!(quarantine.is_quarantined(7));
    quarantine.record_success(&me, 7);
    quarantine.expire(now);
    assert!(quarantine.is_quarantined(7), "the other VM's count stands");
}
