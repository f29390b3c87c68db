//! Encoding of datagrams between VMs.

use gentianridge_core::{
    ConfigProof, CrashRecord, EraNotice, Evacuations, GossipState, HeartbeatSummary, Incarnation,
    PeerView, StoreVersion, TargetEntry, TargetListUpdate, UpdateContent,
};
use gentianridge_wire::PeerDatagram;
use proptest::prelude::*;
use smol_str::SmolStr;
use std::time::Duration;

fn any_peer() -> impl Strategy<Value = PeerView> {
    (
        "[a-z0-9-]{1,20}",
        any::<(u64, u64, u64)>(),
        any::<([u8; 4], u16)>(),
        any::<bool>(),
    )
        .prop_map(
            |(vm, (incarnation, seq, revision), addr, is_leaving)| PeerView {
                vm: vm.into(),
                incarnation,
                seq,
                addr: addr.into(),
                operator_addr: None,
                is_leaving,
                revision,
                domain: "d1".into(),
            },
        )
}

fn any_datagram() -> impl Strategy<Value = PeerDatagram> {
    (
        any_peer(),
        any::<(bool, u64)>(),
        prop::collection::vec(any::<(u64, u16, u16, u32)>(), 0..10),
        prop::option::of(any_list()),
        prop::collection::vec(any_peer(), 0..5),
        prop::collection::vec(any::<(u32, u64)>(), 0..30),
        any::<(
            Vec<u64>,
            Vec<u64>,
            Option<u64>,
            Option<(u64, u64, u64)>,
            Option<(u64, Option<u32>)>,
        )>(),
    )
        .prop_map(
            |(me, (is_hello, newest_revision), crashes, list, peers, summaries, notices)| {
                PeerDatagram {
                    crashes: crashes
                        .into_iter()
                        .map(|crash| make_crash("vm-7", crash))
                        .collect(),
                    me,
                    is_hello,
                    newest_revision,
                    list,
                    leaving: notices.0,
                    paused: notices.1,
                    evacuations: notices.2.map(|version| Evacuations {
                        version: StoreVersion::new(version / 3, version),
                        domains: vec!["a".into(), "b".into()],
                        held: vec!["c".into()],
                    }),
                    proof: notices.3.map(|(era, revision, at_ms)| ConfigProof {
                        era,
                        revision,
                        at: Duration::from_millis(at_ms),
                    }),
                    era: notices.4.map(|(era, age_ms)| EraNotice {
                        era,
                        age: age_ms.map(|ms| Duration::from_millis(u64::from(ms))),
                    }),
                    peers,
                    summaries: summaries
                        .into_iter()
                        .map(|(peer, seq)| HeartbeatSummary { peer, seq })
                        .collect(),
                }
            },
        )
}

fn make_crash(vm: &str, (fingerprint, count, epoch, age): (u64, u16, u16, u32)) -> CrashRecord {
    CrashRecord {
        fingerprint,
        vm: vm.into(),
        count,
        epoch,
        age: Duration::from_millis(u64::from(age)),
    }
}

fn any_list() -> impl Strategy<Value = TargetListUpdate> {
    let entry = (
        "[a-z0-9-]{1,14}",
        any::<u64>(),
        any::<([u8; 4], u16)>(),
        any::<(u16, bool, u16)>(),
    )
        .prop_map(
            |(id, born_ms, addr, (slots, is_draining, cold))| TargetEntry {
                incarnation: Incarnation {
                    id: id.into(),
                    born_ms,
                },
                service: "cart".into(),
                addr: addr.into(),
                domain: "d1".into(),
                slots,
                is_draining,
                cold_left: Duration::from_millis(u64::from(cold)),
            },
        );
    (
        any::<u64>(),
        any::<(u64, u64)>(),
        any::<(u16, u16)>(),
        prop::collection::vec(entry, 0..6),
        prop::collection::vec("[a-z]{1,9}".prop_map(SmolStr::from), 0..4),
        prop::collection::vec("[a-z]{1,9}".prop_map(SmolStr::from), 0..4),
    )
        .prop_map(
            |(base, (version, revision), (settle, age), entries, removed, unreadable)| {
                TargetListUpdate {
                    base: StoreVersion::new(u64::from(age) / 7, base),
                    version: StoreVersion::new(u64::from(settle), version),
                    revision,
                    age: Duration::from_millis(u64::from(age)),
                    settle_left: Duration::from_millis(u64::from(settle)),
                    entries,
                    removed,
                    unreadable,
                    digest: base ^ version,
                    content: UpdateContent::Omitted,
                }
            },
        )
}

proptest! {
    #[test]
    fn round_trip(datagram in any_datagram()) {
        let bytes = datagram.encode();
        prop_assert_eq!(PeerDatagram::decode(&bytes).unwrap(), datagram);
    }

    #[test]
    fn random_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = PeerDatagram::decode(&bytes);
    }
}

/// Datagrams without changes, sent to four peers every 300 ms, stay within the byte
/// budget of some 5 KB/s.
#[test]
fn within_byte_budget() {
    let view = |index: u16| PeerView {
        vm: SmolStr::from(format!("edge-a-rather-long-failure-domain-{index}")),
        incarnation: 1_796_386_255_756,
        seq: 100_000,
        addr: ([10, 1, 2, 3], 7540).into(),
        operator_addr: None,
        is_leaving: false,
        revision: 70_000,
        domain: "d1".into(),
    };
    let datagram = PeerDatagram {
        me: view(0),
        is_hello: false,
        newest_revision: 70_000,
        crashes: Vec::new(),
        list: Some(TargetListUpdate::default()),
        leaving: Vec::new(),
        paused: Vec::new(),
        evacuations: None,
        proof: None,
        era: None,
        peers: (1..=GossipState::PEER_VIEWS as u16).map(view).collect(),
        summaries: (0..GossipState::SUMMARIES as u32)
            .map(|peer| HeartbeatSummary { peer, seq: 100_000 })
            .collect(),
    };
    let size = datagram.encode().len();
    assert!(size * GossipState::FANOUT * 10 / 3 < 5_000, "{size} bytes");
}
