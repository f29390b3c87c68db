//! Cold targets of one VM: when it sends to them, and how it learns that they are cold.

mod common;

use common::{Harness, ONCE, SAMPLE_WAIT_MS, SHORT, make_sampled_spec, make_spec};
use gentianridge_core::{
    ColdFleet, ColdPlan, ColdRate, Incarnation, LoadReport, Outcome, ReadTurn, RequestBound,
    ResultCode, ServiceSpec, StoreVersion, TargetCondition, TargetEntry, TargetKey, TargetList,
    TargetListRead, VmName,
};
use std::time::{Duration, Instant};

const RATE: ColdRate = ColdRate {
    warm_up: Duration::from_secs(3),
    per_second: 5.0,
};
const BOUND: RequestBound = RequestBound {
    excess_percent: 50,
    slack: 8,
};
/// Returns the key of the target that is cold.
fn cold() -> TargetKey {
    TargetKey::from_index(0)
}

/// Starts a VM that knows others; it owns the targets as the only VM if it knows none.
fn make_harness(spec: ServiceSpec, others: usize) -> Harness {
    let mut harness = Harness::with_spec(spec);
    let plan = ColdPlan::new(RATE, BOUND);
    harness.service.set_cold_plan(harness.now, Some(plan));
    let names: Vec<VmName> = (0..others)
        .map(|index| format!("vm-{index}").into())
        .collect();
    let fleet = ColdFleet::new(&"vm-me".into(), &names, Some(harness.now));
    harness.service.set_cold_fleet(harness.now, fleet);
    harness
}

fn make_cold(spec: &mut ServiceSpec, now: Instant, millis: u64) {
    spec.targets[0].cold_until = Some(now + Duration::from_millis(millis));
}

/// Sends a request every 10 ms and counts those to the first target; each is answered.
fn count_sends(harness: &mut Harness, millis: u64) -> usize {
    let mut sends = 0;
    for _ in 0..millis / 10 {
        let call = harness.arrive_within(ONCE, 900);
        if harness.is_sent(call) {
            let sent = harness.get_last_attempt(call);
            sends += usize::from(sent.target == cold());
            harness.answer(sent);
        } else {
            harness.cancel(call);
        }
        harness.advance(10);
    }
    sends
}

fn say_cold(harness: &mut Harness, millis: u64) -> bool {
    let left = Duration::from_millis(millis);
    let mut out = Vec::new();
    harness
        .service
        .record_cold_answer(harness.now, cold(), left, &mut out)
}

#[test]
fn owner_rate() {
    let mut spec = make_spec(1, 6);
    let mut harness = make_harness(spec.clone(), 0);
    make_cold(&mut spec, harness.now, 3_000);
    harness.apply(spec);
    let sends = count_sends(&mut harness, 2_900);
    assert!((5..=8).contains(&sends), "{sends} sends to a cold target");
    harness.advance(200);
    let sends = count_sends(&mut harness, 1_000);
    assert!(sends > 50, "{sends} sends to a warm target");
}

#[test]
fn others_send_nothing() {
    let mut spec = make_spec(1, 6);
    let mut owners = 0;
    for name in 0..41 {
        let mut harness = make_harness(spec.clone(), 0);
        let names: Vec<VmName> = (0..41).map(|index| format!("vm-{index}").into()).collect();
        let (me, now) = (names[name].clone(), harness.now);
        let others = names.iter().filter(|other| **other != me);
        let fleet = ColdFleet::new(&me, others, Some(now));
        harness.service.set_cold_fleet(now, fleet);
        make_cold(&mut spec, now, 3_000);
        harness.apply(spec.clone());
        owners += usize::from(count_sends(&mut harness, 2_500) > 0);
    }
    assert_eq!(owners, 2);
}

/// A VM that has just started owns nothing until it knows the fleet.
#[test]
fn settle_time() {
    let mut spec = make_spec(1, 6);
    let mut harness = make_harness(spec.clone(), 0);
    let (now, settled) = (harness.now, harness.now + Duration::from_secs(1));
    let fleet = ColdFleet::new(&"vm-me".into(), [], Some(settled));
    harness.service.set_cold_fleet(now, fleet);
    make_cold(&mut spec, now, 3_000);
    harness.apply(spec);
    assert_eq!(count_sends(&mut harness, 900), 0);
    harness.advance(200);
    assert!(count_sends(&mut harness, 1_000) > 0);
}

/// A target says at any moment that it is cold, and that it is warm.
#[test]
fn health_answers() {
    let mut harness = make_harness(make_spec(1, 6), 41);
    assert!(count_sends(&mut harness, 500) > 20);
    assert!(say_cold(&mut harness, 2_000));
    assert!(!say_cold(&mut harness, 1_990), "it is known to be cold");
    let status = harness.service.get_status(harness.now);
    assert_eq!(status[0].condition, TargetCondition::Cold);
    assert_eq!(count_sends(&mut harness, 1_000), 0);
    say_cold(&mut harness, 0);
    assert!(count_sends(&mut harness, 500) > 20);
}

/// Calls that no target may get in time are refused at once.
#[test]
fn all_cold() {
    let mut spec = make_spec(1, 6);
    let mut harness = make_harness(spec.clone(), 41);
    make_cold(&mut spec, harness.now, 3_000);
    harness.apply(spec);
    let call = harness.arrive_within(SHORT, 1_000);
    assert_eq!(
        harness.get_code(call),
        Some(ResultCode::DeadlineUnreachable)
    );
    let wait = harness
        .service
        .estimate_capacity_wait(harness.now, harness.get_class(SHORT));
    assert!(wait >= Duration::from_millis(2_900), "{wait:?}");
}

/// Targets that are given back are asked first, and used once they say that they are warm.
#[test]
fn given_back() {
    let mut spec = make_sampled_spec(1);
    spec.targets[0].is_emptied = true;
    let mut harness = make_harness(spec.clone(), 41);
    spec.targets[0].is_emptied = false;
    harness.apply(spec);
    let call = harness.arrive_within(SHORT, 1_000);
    assert!(!harness.is_sent(call));
    assert_eq!(harness.sampled, [cold()]);
    say_cold(&mut harness, 0);
    let report = LoadReport {
        slots: Some(3),
        ..LoadReport::default()
    };
    harness.report_load(cold(), report);
    assert!(harness.is_sent(call));
}

#[test]
fn given_back_cold() {
    let mut spec = make_sampled_spec(2);
    spec.targets[0].is_emptied = true;
    let mut harness = make_harness(spec.clone(), 41);
    spec.targets[0].is_emptied = false;
    harness.apply(spec);
    harness.report_work_percent(TargetKey::from_index(1), 100);
    for _ in 0..3 {
        let call = harness.arrive_within(SHORT, 1_000);
        assert_ne!(harness.get_last_attempt(call).target, cold());
    }
    say_cold(&mut harness, 2_000);
    let call = harness.arrive_within(SHORT, 1_000);
    harness.report_work_percent(cold(), 100);
    harness.advance(SAMPLE_WAIT_MS);
    assert!(!harness.is_sent(call), "the target says that it is cold");
}

/// A target whose address refused a connection may have started again since.
#[test]
fn refused_connection() {
    let mut harness = make_harness(make_spec(1, 6), 41);
    let sent = harness.send(SHORT);
    harness.fail(sent, Outcome::Refused);
    let call = harness.arrive_within(SHORT, 500);
    assert!(!harness.is_sent(call));
    harness.cancel(call);
    say_cold(&mut harness, 0);
    harness.send(SHORT);
}

/// A part of the rate that was taken before a pause is not used after it, and an attempt
/// that was chosen while the target was warm needs a part if it is cold at the send.
#[test]
fn claim_at_send() {
    let mut spec = make_spec(1, 6);
    let mut harness = make_harness(spec.clone(), 0);
    let early = harness.send(ONCE);
    make_cold(&mut spec, harness.now, 3_000);
    harness.apply(spec);
    assert!(!harness.service.claim_send(harness.now, early.attempt));
    harness.advance(450);
    let sent = harness.send(ONCE);
    assert!(harness.service.claim_send(harness.now, sent.attempt));
    harness.now += Duration::from_millis(300);
    assert!(!harness.service.claim_send(harness.now, sent.attempt));
    harness.now += Duration::from_millis(300);
    assert!(harness.service.claim_send(harness.now, sent.attempt));
    assert!(!harness.service.claim_send(harness.now, early.attempt));
}

/// Without a rate in the configuration nothing is cold.
#[test]
fn no_rate() {
    let mut spec = make_spec(1, 6);
    let mut harness = Harness::with_spec(spec.clone());
    make_cold(&mut spec, harness.now, 3_000);
    harness.apply(spec);
    say_cold(&mut harness, 3_000);
    let sent = harness.send(SHORT);
    harness.fail(sent, Outcome::Refused);
    assert!(count_sends(&mut harness, 500) > 20);
}

fn make_entry(cold_ms: u64) -> TargetEntry {
    TargetEntry {
        incarnation: Incarnation {
            id: "t0".into(),
            born_ms: 1,
        },
        service: "cart".into(),
        addr: "127.0.0.1:9001".parse().unwrap(),
        domain: "d0".into(),
        slots: 6,
        is_draining: false,
        cold_left: Duration::from_millis(cold_ms),
    }
}

fn read(list: &mut TargetList, now: Instant, version: u64, cold_ms: u64) -> usize {
    let read = TargetListRead {
        version: StoreVersion::new(1, version),
        is_full: version == 1,
        entries: vec![make_entry(cold_ms)],
        ..TargetListRead::default()
    };
    let applied = list.apply_read(now, now, read, ReadTurn::first(), &mut Vec::new());
    applied.map_or(0, |applied| applied.update.entries.len())
}

fn get_cold_left(list: &TargetList, now: Instant) -> Duration {
    let until = list.get_targets("cart", 10)[0].cold_until;
    until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
}

/// Later entries of the same warm-up are no news; one that says more is sent to peers, who
/// get what is left.
#[test]
fn cold_again() {
    let start = Instant::now();
    let mut list = TargetList::new(Duration::from_secs(2));
    list.set_cold_rates(true);
    assert_eq!(read(&mut list, start, 1, 3_000), 1);
    let now = start + Duration::from_secs(1);
    assert_eq!(read(&mut list, now, 2, 2_400), 0);
    assert_eq!(get_cold_left(&list, now), Duration::from_secs(2));
    let full = list.make_full_update(now).unwrap();
    assert_eq!(full.entries[0].cold_left, Duration::from_secs(2));
    let now = start + Duration::from_secs(20);
    assert_eq!(read(&mut list, now, 3, 0), 0);
    assert_eq!(read(&mut list, now, 4, 2_800), 1);
    assert_eq!(get_cold_left(&list, now), Duration::from_millis(2_800));
}

/// Without a rate in the configuration, peers get the same as before.
#[test]
fn no_rate_no_update() {
    let start = Instant::now();
    let mut list = TargetList::new(Duration::from_secs(2));
    read(&mut list, start, 1, 3_000);
    let now = start + Duration::from_secs(20);
    assert_eq!(read(&mut list, now, 2, 2_800), 0);
    let full = list.make_full_update(now).unwrap();
    assert_eq!(full.entries[0].cold_left, Duration::from_secs(3));
}
