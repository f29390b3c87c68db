//! The view of the fleet from sources that disagree.

use gentianridge_core::{
    EventKind, HybridTime, Membership, PeerState, PeerView, PlatformState, TargetNotice,
    TargetNotices, VmName,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn view(vm: &str, incarnation: u64, seq: u64) -> PeerView {
    let addr = SocketAddr::from(([10, 0, 0, 1], 80));
    PeerView {
        vm: vm.into(),
        incarnation,
        seq,
        addr,
        operator_addr: None,
        is_leaving: false,
        revision: 1,
    }
}

fn live(membership: &Membership, now: Instant) -> Vec<VmName> {
    membership.get_live(now)
}

#[test]
fn silent_peer() {
    let start = Instant::now();
    let mut membership = Membership::new("b".into());
    membership.record_heartbeat(start, view("a", 1, 1));
    assert_eq!(live(&membership, start), ["a", "b"]);
    let later = start + Duration::from_secs(1);
    assert_eq!(live(&membership, later), ["b"]);
    let events = membership.tick(later);
    assert!(
        events.is_empty(),
        "a peer that was never announced falls silent without an event"
    );
}

#[test]
fn announced_once() {
    let start = Instant::now();
    let mut membership = Membership::new("b".into());
    membership.record_heartbeat(start, view("a", 1, 1));
    assert_eq!(
        membership.tick(start),
        [EventKind::PeerLive { peer: "a".into() }]
    );
    assert!(membership.tick(start).is_empty());
    let later = start + Duration::from_secs(1);
    assert_eq!(
        membership.tick(later),
        [EventKind::PeerSilent { peer: "a".into() }]
    );
}

#[test]
fn old_messages() {
    let start = Instant::now();
    let mut membership = Membership::new("b".into());
    membership.record_heartbeat(start, view("a", 1, 5));
    let later = start + Duration::from_secs(1);
    assert!(
        !membership.record_heartbeat(later, view("a", 1, 5)),
        "a message that arrives twice"
    );
    assert!(
        !membership.record_heartbeat(later, view("a", 1, 4)),
        "a message that arrives late"
    );
    assert_eq!(live(&membership, later), ["b"]);
}

#[test]
fn leaving_stays() {
    let start = Instant::now();
    let mut membership = Membership::new("b".into());
    let mut leaving = view("a", 1, 5);
    leaving.is_leaving = true;
    membership.record_heartbeat(start, leaving);
    membership.record_heartbeat(start, view("a", 1, 6));
    assert_eq!(
        live(&membership, start),
        ["b"],
        "a process does not take its leaving back"
    );
    membership.record_heartbeat(start, view("a", 2, 1));
    assert_eq!(
        live(&membership, start),
        ["a", "b"],
        "a new process under the name is live"
    );
}

#[test]
fn platform_lags() {
    let start = Instant::now();
    let mut membership = Membership::new("b".into());
    membership.record_heartbeat(start, view("a", 1, 1));
    membership.record_platform_state(&"a".into(), PlatformState::Leaving);
    assert_eq!(live(&membership, start), ["b"]);
    membership.record_heartbeat(start, view("a", 2, 1));
    assert_eq!(
        live(&membership, start),
        ["a", "b"],
        "the list speaks of the process before"
    );
    membership.record_platform_state(&"c".into(), PlatformState::Live);
    assert_eq!(
        live(&membership, start),
        ["a", "b"],
        "a VM that nobody heard shares no work"
    );
}

#[test]
fn detour_counts() {
    let start = Instant::now();
    let mut membership = Membership::new("b".into());
    membership.record_heartbeat(start, view("a", 1, 1));
    let later = start + Duration::from_millis(800);
    membership.record_heartbeat(later, view("a", 1, 4));
    let state = membership
        .get_peers(later + Duration::from_millis(500))
        .map(|(_, state)| state)
        .next();
    assert_eq!(state, Some(PeerState::Live));
}

#[test]
fn partners_turn() {
    let now = Instant::now();
    let mut membership = Membership::new("me".into());
    for name in ["a", "b", "c", "d", "e"] {
        membership.record_heartbeat(now, view(name, 1, 1));
    }
    let mut reached: Vec<VmName> = (0..3)
        .flat_map(|_| membership.next_peers(2))
        .map(|peer| peer.vm)
        .collect();
    reached.sort();
    reached.dedup();
    assert_eq!(reached.len(), 5);
}

fn notice(is_leaving: bool, millis: u64) -> TargetNotice {
    TargetNotice {
        service: "draw".into(),
        target: "d1".into(),
        is_leaving,
        at: HybridTime { millis, logical: 0 },
    }
}

#[test]
fn newest_notice() {
    let mut notices = TargetNotices::new();
    assert!(notices.merge(notice(true, 10)));
    assert!(!notices.merge(notice(true, 11)), "nothing new");
    assert!(notices.merge(notice(false, 20)));
    assert!(
        !notices.merge(notice(true, 15)),
        "an old message takes no target out again"
    );
    assert!(!notices.get_newest(9)[0].is_leaving);
}

#[test]
fn notices_expire() {
    let mut notices = TargetNotices::new();
    notices.merge(notice(true, 10));
    notices.merge(notice(false, 20));
    let later = HybridTime {
        millis: 100_000,
        logical: 0,
    };
    notices.expire(later);
    assert!(notices.get_newest(9).is_empty());
}
