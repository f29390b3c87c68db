//! The account of the memory for callers.

use gentianridge_core::{HolderKey, HolderPhase, MemoryAccount, MemoryBudget, MemoryDecision};
use std::time::{Duration, Instant};

const MIB: usize = 1024 * 1024;
const SECOND: Duration = Duration::from_secs(1);
const BUDGET: MemoryBudget = MemoryBudget {
    capacity: 8 * MIB,
    short_part: 2 * MIB,
    max_connections: 20,
    max_held_body: 4 * MIB,
    max_flows: 2,
};

/// Opens a connection that receives a body.
fn open_receiving(account: &mut MemoryAccount, now: Instant) -> HolderKey {
    assert_eq!(account.admit(now), MemoryDecision::Granted);
    let key = account.open(now);
    account.enter(now, key, HolderPhase::Receiving);
    key
}

#[test]
fn stalled_body() {
    let start = Instant::now();
    let mut account = MemoryAccount::new(BUDGET);
    let fast = open_receiving(&mut account, start);
    let stalled = open_receiving(&mut account, start);
    for key in [fast, stalled] {
        assert_eq!(
            account.reserve(start, key, 2 * MIB),
            MemoryDecision::Granted
        );
        account.record_progress(start, key, 2 * MIB as u64);
    }
    let now = start + 3 * SECOND;
    account.record_progress(now, fast, MIB as u64);
    let newcomer = open_receiving(&mut account, now);
    let decision = account.reserve(now, newcomer, 2 * MIB);
    assert_eq!(decision, MemoryDecision::Evict(stalled));
    // The memory of the evicted connection is not free before it is released.
    assert_eq!(
        account.reserve(now, newcomer, 2 * MIB),
        MemoryDecision::Wait
    );
    account.release(stalled, 2 * MIB);
    account.close(stalled);
    assert_eq!(
        account.reserve(now, newcomer, 2 * MIB),
        MemoryDecision::Granted
    );
}

#[test]
fn progress_protects() {
    let start = Instant::now();
    let mut account = MemoryAccount::new(BUDGET);
    let holder = open_receiving(&mut account, start);
    assert_eq!(
        account.reserve(start, holder, 5 * MIB),
        MemoryDecision::Granted
    );
    for second in 0..10 {
        let now = start + second * SECOND;
        account.record_progress(now, holder, 100_000);
        let newcomer = open_receiving(&mut account, now);
        assert_eq!(
            account.reserve(now, newcomer, 2 * MIB),
            MemoryDecision::Full
        );
        account.close(newcomer);
    }
}

#[test]
fn serving_stays() {
    let start = Instant::now();
    let mut account = MemoryAccount::new(BUDGET);
    let holder = open_receiving(&mut account, start);
    assert_eq!(
        account.reserve(start, holder, 5 * MIB),
        MemoryDecision::Granted
    );
    account.enter(start, holder, HolderPhase::Serving);
    let now = start + 60 * SECOND;
    let newcomer = open_receiving(&mut account, now);
    assert_eq!(
        account.reserve(now, newcomer, 2 * MIB),
        MemoryDecision::Full
    );
}

#[test]
fn short_requests() {
    let now = Instant::now();
    let mut account = MemoryAccount::new(BUDGET);
    let large = open_receiving(&mut account, now);
    while account.reserve(now, large, 64 * 1024) == MemoryDecision::Granted {}
    assert!(account.get_used() <= BUDGET.capacity - BUDGET.short_part);
    let short = open_receiving(&mut account, now);
    let decision = account.reserve(now, short, MemoryBudget::SHORT_BYTES);
    assert_eq!(decision, MemoryDecision::Granted);
    assert_eq!(account.reserve(now, short, 1), MemoryDecision::Full);
}

#[test]
fn idle_connections() {
    let start = Instant::now();
    let mut account = MemoryAccount::new(BUDGET);
    let keys: Vec<HolderKey> = (0..BUDGET.max_connections)
        .map(|index| account.open(start + index as u32 * SECOND))
        .collect();
    let now = start + 60 * SECOND;
    account.enter(now, keys[0], HolderPhase::Serving);
    assert_eq!(account.admit(now), MemoryDecision::Evict(keys[1]));
    account.close(keys[1]);
    assert_eq!(account.admit(now), MemoryDecision::Granted);
    account.open(now);
    for key in &keys {
        account.enter(now, *key, HolderPhase::Serving);
    }
    let last = account.admit(now);
    assert!(matches!(last, MemoryDecision::Evict(_)), "{last:?}");
    assert_eq!(account.admit(now), MemoryDecision::Full);
}

#[test]
fn bounded_flows() {
    let mut account = MemoryAccount::new(BUDGET);
    assert!(account.start_flow());
    assert!(account.start_flow());
    assert!(!account.start_flow());
    account.end_flow();
    assert!(account.start_flow());
}

#[test]
fn outliving_request() {
    let now = Instant::now();
    let mut account = MemoryAccount::new(BUDGET);
    let key = open_receiving(&mut account, now);
    assert_eq!(account.reserve(now, key, MIB), MemoryDecision::Granted);
    account.close(key);
    assert_eq!(account.get_used(), MIB);
    account.release(key, MIB);
    assert_eq!(account.get_used(), 0);
}

/// A budget leaves room for what the process needs besides callers, on every size of VM.
#[test]
fn derived_budget() {
    for megabytes in [48, 64, 112, 387, 512, 780] {
        let memory = megabytes * 1_000_000;
        for descriptors in [64, 256, 2_870, 10_250, 1_000_000] {
            let budget = MemoryBudget::new(memory, descriptors, 4);
            assert!(budget.capacity <= memory * 3 / 5);
            assert!(budget.capacity >= 6 * MIB, "{budget:?}");
            assert!(budget.max_connections < descriptors * 3 / 4);
            assert!(budget.max_held_body > MemoryBudget::SHORT_BYTES);
        }
    }
}
