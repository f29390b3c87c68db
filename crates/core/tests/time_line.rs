//! The clock and the ring of the time line.

use gentianridge_core::{Event, EventKind, EventRing, HybridClock, HybridTime};
use proptest::prelude::*;
use std::time::{Duration, SystemTime};

fn at(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
}

#[test]
fn cause_first() {
    let mut ahead = HybridClock::new();
    let mut behind = HybridClock::new();
    let cause = ahead.tick(at(5_000));
    assert!(behind.observe(at(1_000), cause));
    assert!(behind.tick(at(1_000)) > cause);
}

#[test]
fn far_ahead() {
    let mut clock = HybridClock::new();
    let wild = HybridTime {
        millis: 10_000_000,
        logical: 0,
    };
    assert!(!clock.observe(at(1_000), wild));
    assert!(clock.tick(at(1_000)) < wild);
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
    fn never_repeats(walls in prop::collection::vec(0_u64..1_000, 1..100)) {
        let mut clock = HybridClock::new();
        let mut last = HybridTime::default();
        for wall in walls {
            let reading = clock.tick(at(wall));
            prop_assert!(reading > last);
            last = reading;
        }
    }
}
