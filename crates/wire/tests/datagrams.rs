//! Datagrams between VMs on the platform.

use gentianridge_wire::{PeerDatagram, TargetLoad};
use proptest::prelude::*;

fn any_datagram() -> impl Strategy<Value = PeerDatagram> {
    let load = (any::<u64>(), any::<u16>())
        .prop_map(|(target, in_flight)| TargetLoad { target, in_flight });
    (
        "[a-z0-9-]{1,20}",
        any::<u64>(),
        any::<u64>(),
        any::<u64>(),
        any::<(bool, bool)>(),
        prop::collection::vec(load, 0..40),
        prop::collection::vec(any::<(u64, u16)>(), 0..10),
    )
        .prop_map(
            |(vm, incarnation, seq, version, flags, loads, crashes)| PeerDatagram {
                vm: vm.into(),
                incarnation,
                seq,
                version,
                is_hello: flags.0,
                is_leaving: flags.1,
                loads,
                crashes,
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
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = PeerDatagram::decode(&bytes);
    }
}

/// Five VMs with a few dozen targets stay far below one packet.
#[test]
fn size() {
    let loads = (0..60).map(|target| TargetLoad {
        target: u64::MAX - target,
        in_flight: 4,
    });
    let datagram = PeerDatagram {
        vm: "edge-a-rather-long-failure-domain-12".into(),
        loads: loads.collect(),
        ..PeerDatagram::default()
    };
    assert!(datagram.encode().len() < PeerDatagram::MAX_BYTES);
}
