//! Requests that crash targets.

use gentianridge_core::{CrashRecord, Quarantine, QuarantineChange, VmName};
use std::time::{Duration, Instant};

const PERIOD: Duration = Duration::from_secs(600);

fn mark(vm: &str, count: u16, epoch: u16) -> CrashRecord {
    CrashRecord {
        fingerprint: 7,
        vm: vm.into(),
        count,
        epoch,
        age: Duration::ZERO,
    }
}

#[test]
fn second_crash() {
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
fn over_fleet() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(PERIOD);
    quarantine.record_crash(now, &"a".into(), 7);
    assert_eq!(
        quarantine.merge(now, &mark("b", 1, 0)),
        Some(QuarantineChange::Quarantined(7))
    );
}

#[test]
fn repeated_mark() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(PERIOD);
    quarantine.merge(now, &mark("b", 1, 0));
    assert_eq!(quarantine.merge(now, &mark("b", 1, 0)), None);
    assert!(
        !quarantine.is_quarantined(7),
        "a mark that arrives twice counts once"
    );
}

#[test]
fn popular_request() {
    let now = Instant::now();
    let me = VmName::from("a");
    let mut quarantine = Quarantine::new(PERIOD);
    quarantine.record_crash(now, &me, 7);
    quarantine.record_success(&me, 7);
    assert_eq!(
        quarantine.record_crash(now, &me, 7),
        None,
        "an answer in between clears the request"
    );
}

#[test]
fn reset_spreads() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(PERIOD);
    quarantine.merge(now, &mark("b", 1, 0));
    quarantine.merge(now, &mark("b", 0, 1));
    assert_eq!(quarantine.record_crash(now, &"a".into(), 7), None);
}

#[test]
fn expiry() {
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
