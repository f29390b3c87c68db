//! Encoding of datagrams about limits.

use gentianridge_core::{
    LimitMember, LimitMessage, MemberMessage, MemberReply, TokenAsk, TokenGrant, WorkspaceKey,
};
use gentianridge_wire::{LimitDatagram, PeerDatagram};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

fn any_message(tokens: std::ops::Range<u32>) -> impl Strategy<Value = LimitMessage> {
    let entry = (any::<u64>(), tokens.clone(), tokens);
    let entries = prop::collection::vec(entry, 1..10);
    (any::<(u32, bool)>(), entries).prop_map(|((nonce, is_ask), entries)| {
        let entries = entries.into_iter();
        let entries = entries.map(|(key, tokens, left)| TokenGrant {
            workspace: WorkspaceKey::from_number(key),
            tokens,
            left_percent: left,
        });
        if is_ask {
            let asks = entries.map(|entry| TokenAsk {
                workspace: entry.workspace,
                tokens: entry.tokens,
            });
            LimitMessage::Asks(nonce, asks.collect())
        } else {
            LimitMessage::Grants(nonce, entries.collect())
        }
    })
}

fn any_member_message() -> impl Strategy<Value = LimitMessage> {
    let member = any::<(u64, SocketAddr)>().prop_map(|(digest, addr)| LimitMember {
        digest,
        addr: SocketAddr::new(addr.ip(), addr.port()),
        is_near: false,
    });
    let members = prop::collection::vec(member, 0..=MemberMessage::MAX_MEMBERS);
    let numbers = any::<(u32, u64, bool, u32, u16, u16)>();
    (0..4, numbers, members).prop_map(|(kind, numbers, members)| {
        let (nonce, digest, is_introduced, known_for_s, part, parts) = numbers;
        LimitMessage::Members(match kind {
            0 => MemberMessage::Hello(nonce, digest),
            1 => MemberMessage::Known(
                nonce,
                MemberReply {
                    is_introduced,
                    known_for: Duration::from_secs(u64::from(known_for_s)),
                    set: digest,
                },
            ),
            2 => MemberMessage::List(nonce),
            _ => MemberMessage::Members(nonce, part, parts, members),
        })
    })
}

proptest! {
    #[test]
    fn members_round_trip(message in any_member_message()) {
        let datagram = LimitDatagram(message);
        let bytes = datagram.encode();
        prop_assert!(bytes.len() <= PeerDatagram::MAX_BYTES, "{} bytes", bytes.len());
        prop_assert!(bytes.len() <= datagram.0.get_max_size(), "{} bytes", bytes.len());
        prop_assert!(LimitDatagram::is_kind(&bytes));
        prop_assert!(PeerDatagram::decode(&bytes).is_err());
        prop_assert_eq!(LimitDatagram::decode(&bytes).unwrap(), datagram);
    }

    #[test]
    fn round_trip(message in any_message(0..u32::MAX)) {
        let datagram = LimitDatagram(message);
        let bytes = datagram.encode();
        prop_assert!(LimitDatagram::is_kind(&bytes));
        prop_assert!(PeerDatagram::decode(&bytes).is_err());
        prop_assert_eq!(LimitDatagram::decode(&bytes).unwrap(), datagram);
    }

    #[test]
    fn size_bound(message in any_message(0..16_384)) {
        let size = LimitDatagram(message.clone()).encode().len();
        prop_assert!(size <= message.get_max_size(), "{} bytes", size);
    }

    #[test]
    fn random_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = LimitDatagram::decode(&bytes);
    }

    #[test]
    fn cut_bytes(message in any_message(0..u32::MAX), cut in 0usize..400) {
        let bytes = LimitDatagram(message).encode();
        let _ = LimitDatagram::decode(&bytes[..cut.min(bytes.len())]);
    }
}

/// Lists of different lengths are refused.
#[test]
fn uneven_lists() {
    let grant = |left_percent| TokenGrant {
        workspace: WorkspaceKey::from_number(7),
        tokens: 1,
        left_percent,
    };
    let one = LimitDatagram(LimitMessage::Grants(1, vec![grant(5)])).encode();
    let levels_only = &one[one.len() - 3..];
    let mut bytes = one.clone();
    bytes.extend_from_slice(levels_only);
    assert!(LimitDatagram::decode(&bytes).is_err());
}

/// An ask or grant of a few tokens takes some 24 bytes.
#[test]
fn small_messages() {
    let workspace = WorkspaceKey::from_number(u64::MAX);
    let ask = LimitMessage::Asks(
        u32::MAX,
        vec![TokenAsk {
            workspace,
            tokens: 9,
        }],
    );
    let grant = TokenGrant {
        workspace,
        tokens: 9,
        left_percent: 900,
    };
    let grant = LimitMessage::Grants(u32::MAX, vec![grant]);
    assert!(LimitDatagram(ask).encode().len() <= 24);
    assert!(LimitDatagram(grant).encode().len() <= 26);
}
