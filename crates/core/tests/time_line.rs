//! The hybrid clock and the event ring of the timeline.

use gentianridge_core::{Event, EventKind, EventRing, HybridClock, HybridTime};
use proptest::prelude::*;
use std::time::{Duration, SystemTime};

fn make_wall_time(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
}

#[test]
fn cause_before_effect() {
    let mut ahead = HybridClock::new();
    let mut behind = HybridClock::new();
    let cause = ahead.tick(make_wall_time(5_000));
    assert!(behind.observe(make_wall_time(1_000), cause));
    assert!(behind.tick(make_wall_time(1_000)) > cause);
}

#[test]
fn far_ahead_rejected() {
    let mut clock = HybridClock::new();
    let too_far_ahead = HybridTime {
        millis: 10_000_000,
        logical: 0,
    };
    assert!(!clock.observe(make_wall_time(1_000), too_far_ahead));
    assert!(clock.tick(make_wall_time(1_000)) < too_far_ahead);
}

/// Guards against a counter of a peer at its end: the next reading would be smaller.
#[test]
fn logical_at_maximum() {
    let mut clock = HybridClock::new();
    let received = HybridTime {
        millis: 1_500,
        logical: u32::MAX,
    };
    assert!(clock.observe(make_wall_time(1_000), received));
    assert!(clock.tick(make_wall_time(1_000)) > received);
}

#[test]
fn bounded_ring() {
    let mut ring = EventRing::new(3);
    for millis in 1..=5 {
        ring.push(Event {
            at: HybridTime { millis, logical: 0 },
            vm: "a".into(),
            kind: EventKind::StoreDown,
        });
    }
    assert_eq!(ring.len(), 3);
    assert_eq!(ring.get_dropped(), 2);
    let since = HybridTime {
        millis: 4,
        logical: 0,
    };
    assert_eq!(ring.since(since).count(), 1);
}

proptest! {
    #[test]
    fn time_never_repeats(walls in prop::collection::vec(0_u64..1_000, 1..100)) {
        let mut clock = HybridClock::new();
        let mut last = HybridTime::default();
        for wall in walls {
            let time = clock.tick(make_wall_time(wall));
            prop_assert!(time > last);
            last = time;
        }
    }
}
