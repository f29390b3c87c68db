//! The view of the fleet when its sources disagree.

use gentianridge_core::{
    EventKind, HybridTime, Membership, PeerState, PeerView, PlatformState, TargetNotice,
    TargetNotices, VmName,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn make_view(vm: &str, incarnation: u64, seq: u64) -> PeerView {
    let addr = SocketAddr::from(([10, 0, 0, 1], 80));
    PeerView {
        vm: vm.into(),
        incarnation,
        seq,
        addr,
        operator_addr: None,
        is_leaving: false,
        revision: 1,
        domain: "d1".into(),
    }
}

fn get_live(membership: &Membership, now: Instant) -> Vec<VmName> {
    membership.get_live(now)
}

#[test]
fn silent_peer() {
    let start = Instant::now();
    let mut membership = Membership::new("b".into());
    membership.record_heartbeat(start, make_view("a", 1, 1));
    assert_eq!(get_live(&membership, start), ["a", "b"]);
    let later = start + Duration::from_secs(1);
    assert_eq!(get_live(&membership, later), ["b"]);
    let events = membership.tick(later);
    assert!(
        events.is_empty(),
        "a peer that was not announced as live becomes silent without an event"
    );
}

#[test]
fn announced_once() {
    let start = Instant::now();
    let mut membership = Membership::new("b".into());
    membership.record_heartbeat(start, make_view("a", 1, 1));
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
fn old_messages_ignored() {
    let start = Instant::now();
    let mut membership = Membership::new("b".into());
    membership.record_heartbeat(start, make_view("a", 1, 5));
    let later = start + Duration::from_secs(1);
    assert!(
        !membership.record_heartbeat(later, make_view("a", 1, 5)),
        "a duplicate message is ignored"
    );
    assert!(
        !membership.record_heartbeat(later, make_view("a", 1, 4)),
        "a late message is ignored"
    );
    assert_eq!(get_live(&membership, later), ["b"]);
}

#[test]
fn leaving_persists() {
    let start = Instant::now();
    let mut membership = Membership::new("b".into());
    let mut leaving = make_view("a", 1, 5);
    leaving.is_leaving = true;
    membership.record_heartbeat(start, leaving);
    membership.record_heartbeat(start, make_view("a", 1, 6));
    assert_eq!(
        get_live(&membership, start),
        ["b"],
        "a process that leaves cannot become live again"
    );
    membership.record_heartbeat(start, make_view("a", 2, 1));
    assert_eq!(
        get_live(&membership, start),
        ["a", "b"],
        "a new process under the same name is live"
    );
}

#[test]
fn stale_platform_list() {
    let start = Instant::now();
    let mut membership = Membership::new("b".into());
    membership.record_heartbeat(start, make_view("a", 1, 1));
    membership.record_platform_state(&"a".into(), PlatformState::Leaving);
    assert_eq!(get_live(&membership, start), ["b"]);
    membership.record_heartbeat(start, make_view("a", 2, 1));
    assert_eq!(
        get_live(&membership, start),
        ["a", "b"],
        "the platform list describes the previous process"
    );
    membership.record_platform_state(&"c".into(), PlatformState::Live);
    assert_eq!(
        get_live(&membership, start),
        ["a", "b"],
        "a VM without a heartbeat gets no share of the work"
    );
}

#[test]
fn relayed_heartbeat_counts() {
    let start = Instant::now();
    let mut membership = Membership::new("b".into());
    membership.record_heartbeat(start, make_view("a", 1, 1));
    let later = start + Duration::from_millis(800);
    membership.record_heartbeat(later, make_view("a", 1, 4));
    let state = membership
        .get_peers(later + Duration::from_millis(500))
        .map(|(_, state)| state)
        .next();
    assert_eq!(state, Some(PeerState::Live));
}

#[test]
fn peers_rotate() {
    let now = Instant::now();
    let mut membership = Membership::new("me".into());
    for name in ["a", "b", "c", "d", "e"] {
        membership.record_heartbeat(now, make_view(name, 1, 1));
    }
    let mut reached: Vec<VmName> = (0..3)
        .flat_map(|_| membership.next_peers(2))
        .map(|peer| peer.vm)
        .collect();
    reached.sort();
    reached.dedup();
    assert_eq!(reached.len(), 5);
}

/// Guards against a faulty peer that names VMs without end: the table is bounded, and the
/// VMs that are in it are followed on.
#[test]
fn endless_names() {
    let start = Instant::now();
    let mut membership = Membership::new("b".into());
    membership.record_heartbeat(start, make_view("a", 1, 1));
    for index in 0..Membership::MAX_PEERS + 100 {
        membership.record_heartbeat(start, make_view(&format!("odd-{index}"), 1, 1));
    }
    assert_eq!(membership.count_known(), Membership::MAX_PEERS);
    let later = start + Duration::from_millis(500);
    assert!(membership.record_heartbeat(later, make_view("a", 1, 2)));
    assert!(membership.is_live(start + Duration::from_secs(1), &"a".into()));
}

fn make_notice(is_leaving: bool, millis: u64) -> TargetNotice {
    TargetNotice {
        service: "draw".into(),
        target: "d1".into(),
        is_leaving,
        at: HybridTime { millis, logical: 0 },
    }
}

#[test]
fn newest_notice_applies() {
    let mut notices = TargetNotices::new();
    assert!(notices.merge(make_notice(true, 10)));
    assert!(
        !notices.merge(make_notice(true, 11)),
        "the notice does not change the state"
    );
    assert!(notices.merge(make_notice(false, 20)));
    assert!(
        !notices.merge(make_notice(true, 15)),
        "an old notice does not take a target out of use"
    );
    assert!(!notices.get_newest(9)[0].is_leaving);
}

#[test]
fn notices_expire() {
    let mut notices = TargetNotices::new();
    notices.merge(make_notice(true, 10));
    notices.merge(make_notice(false, 20));
    let later = HybridTime {
        millis: 100_000,
        logical: 0,
    };
    notices.expire(later);
    assert!(notices.get_newest(9).is_empty());
}

/// Guards against a time of a peer whose retention ends beyond every number.
#[test]
fn notice_beyond_time() {
    let mut notices = TargetNotices::new();
    notices.merge(make_notice(true, 10));
    notices.merge(make_notice(false, u64::MAX));
    notices.expire(HybridTime::default());
    assert_eq!(notices.get_newest(9).len(), 1);
}
