//! Encoding of messages between VMs.

use gentianridge_core::{
    CrashRecord, Heartbeat, HybridTime, PeerView, RevisionRecord, TargetNotice,
};
use gentianridge_wire::{PeerMessage, new_framed, read_message, write_message};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

fn make_peer(name: &str) -> PeerView {
    PeerView {
        vm: name.into(),
        incarnation: 1_700_000_000_000,
        seq: 77,
        addr: SocketAddr::from(([10, 1, 2, 3], 8082)),
        operator_addr: Some(SocketAddr::from(([0, 0, 0, 0, 0, 0, 0, 1], 8081))),
        is_leaving: true,
        revision: 12,
        domain: "d1".into(),
    }
}

fn make_heartbeat() -> Heartbeat {
    Heartbeat {
        fleet: "sorteggio-nero".into(),
        me: make_peer("vm1"),
        at: HybridTime {
            millis: 5,
            logical: 6,
        },
        crashes: vec![CrashRecord {
            fingerprint: 7,
            vm: "vm2".into(),
            count: 1,
            epoch: 2,
            age: Duration::from_millis(30),
        }],
        notices: vec![TargetNotice {
            service: "draw".into(),
            target: "d1".into(),
            is_leaving: true,
            at: HybridTime {
                millis: 4,
                logical: 0,
            },
        }],
        peers: vec![make_peer("vm3")],
    }
}

fn make_record() -> RevisionRecord {
    RevisionRecord {
        number: 3,
        submission: "2-a".into(),
        author: "ada".into(),
        submitted_ms: 9,
        text: "[fleet]".into(),
    }
}

#[test]
fn round_trip() {
    let messages = [
        PeerMessage::Heartbeat(make_heartbeat()),
        PeerMessage::FetchRevision(4),
        PeerMessage::Revision(make_record()),
        PeerMessage::Ack,
    ];
    for message in messages {
        let decoded = PeerMessage::decode(&message.encode()).expect("a message");
        assert_eq!(decoded, message);
    }
}

#[test]
fn small_heartbeat() {
    let mut minimal = make_heartbeat();
    minimal.crashes.clear();
    minimal.notices.clear();
    minimal.peers.clear();
    let size = PeerMessage::Heartbeat(minimal).encode().len();
    println!("a heartbeat without changes has {size} bytes");
    // 4 peers, 4 rounds a second and the replies must stay within 5 KB/s.
    assert!(size * 16 < 2_500, "{size} bytes");
}

#[tokio::test]
async fn framed_stream() {
    let (a, b) = tokio::io::duplex(64);
    let (mut a, mut b) = (new_framed(a), new_framed(b));
    let message = PeerMessage::Revision(make_record());
    let (sent, received) = tokio::join!(write_message(&mut a, &message), read_message(&mut b));
    assert!(sent.expect("sent") > 4);
    assert_eq!(received.expect("received"), Some(message));
    drop(a);
    assert_eq!(
        read_message(&mut b).await.expect("clean end of stream"),
        None
    );
}

proptest! {
    #[test]
    fn random_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = PeerMessage::decode(&bytes);
    }

    #[test]
    fn changed_byte(at in any::<usize>(), byte in any::<u8>()) {
        let mut bytes = PeerMessage::Heartbeat(make_heartbeat()).encode();
        let at = at % bytes.len();
        bytes[at] = byte;
        let _ = PeerMessage::decode(&bytes);
    }
}

/// Arbitrary and mutated bytes neither panic nor decode to something that encodes to other
/// bytes.
mod state {
    use super::make_peer;
    use gentianridge_core::{
        ConfigProof, EraNotice, Evacuations, StoreTime, StoreVersion, TargetListUpdate,
        UpdateContent,
    };
    use gentianridge_wire::{ConfigState, StateReply, StateRequest};
    use proptest::prelude::*;
    use std::time::Duration;

    fn any_request() -> impl Strategy<Value = StateRequest> {
        (
            "[a-z0-9-]{0,20}",
            any::<u64>(),
            any::<Option<u64>>(),
            any::<(bool, bool)>(),
        )
            .prop_map(
                |(vm, revision, list_version, (needs_full_list, needs_peers))| StateRequest {
                    vm: vm.into(),
                    revision,
                    list_version: list_version.map(|number| StoreVersion::new(number / 5, number)),
                    needs_full_list,
                    needs_peers,
                },
            )
    }

    fn any_reply() -> impl Strategy<Value = StateReply> {
        (
            prop::option::of(any::<(u64, Vec<u8>)>()),
            prop::option::of(any::<(u64, u64)>()),
            0usize..3,
            prop::option::of(any::<(u64, u64)>()),
        )
            .prop_map(|(config, list, peers, fact)| StateReply {
                evacuations: fact.map(|(version, era)| Evacuations {
                    version: StoreVersion::new(era, version),
                    domains: vec!["a".into(), "b".into()],
                    held: Vec::new(),
                }),
                proof: fact.map(|(revision, at_ms)| ConfigProof {
                    era: revision / 2,
                    revision,
                    at: Duration::from_millis(at_ms),
                }),
                store_time: fact.map(|(earliest_ms, latest_ms)| StoreTime {
                    earliest: Duration::from_millis(earliest_ms),
                    latest: Duration::from_millis(latest_ms),
                }),
                era: fact.map(|(era, age_ms)| EraNotice {
                    era,
                    age: u32::try_from(age_ms)
                        .ok()
                        .map(|age_ms| Duration::from_millis(u64::from(age_ms))),
                }),
                config: config.map(|(revision, value)| ConfigState { revision, value }),
                list: list.map(|(version, digest)| TargetListUpdate {
                    version: StoreVersion::new(digest, version),
                    digest,
                    content: UpdateContent::Full,
                    ..TargetListUpdate::default()
                }),
                absent: (0..peers)
                    .map(|index| (format!("vm-{index}").into(), ([10, 0, 0, 9], 80).into()))
                    .collect(),
                vms: peers as u32 * 7,
                peers: (0..peers)
                    .map(|index| make_peer(&format!("vm-{index}")))
                    .collect(),
            })
    }

    proptest! {
        #[test]
        fn request_round_trip(request in any_request()) {
            let bytes = request.encode();
            prop_assert!(bytes.len() <= StateRequest::MAX_BYTES);
            prop_assert_eq!(StateRequest::decode(&bytes).unwrap(), request);
        }

        #[test]
        fn reply_round_trip(reply in any_reply()) {
            prop_assert_eq!(StateReply::decode(&reply.encode()).unwrap(), reply);
        }

        #[test]
        fn mutated_reply(reply in any_reply(), at in any::<prop::sample::Index>(), mask in 1u8..) {
            let mut bytes = reply.encode();
            if !bytes.is_empty() {
                let at = at.index(bytes.len());
                bytes[at] ^= mask;
            }
            if let Ok(decoded) = StateReply::decode(&bytes) {
                let again = StateReply::decode(&decoded.encode()).unwrap();
                prop_assert_eq!(again, decoded);
            }
        }

        #[test]
        fn arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
            let _ = StateRequest::decode(&bytes);
            let _ = StateReply::decode(&bytes);
        }
    }
}
