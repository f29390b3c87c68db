//! Datagrams between VMs on the platform.

use gentianridge_core::{CrashMark, Incarnation, TargetEntry};
use gentianridge_wire::{ListNews, PeerDatagram, TargetLoad};
use proptest::prelude::*;
use smol_str::SmolStr;
use std::time::Duration;

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
        prop::collection::vec(any::<(u64, u16, u16, u32)>(), 0..10),
        prop::option::of(any_list()),
    )
        .prop_map(
            |(vm, incarnation, seq, version, flags, loads, crashes, list)| PeerDatagram {
                crashes: crashes
                    .into_iter()
                    .map(|mark| make_mark(&vm, mark))
                    .collect(),
                vm: vm.into(),
                domain: "d1".into(),
                incarnation,
                seq,
                version,
                is_hello: flags.0,
                is_leaving: flags.1,
                loads,
                list,
            },
        )
}

fn make_mark(vm: &str, (fingerprint, count, epoch, age): (u64, u16, u16, u32)) -> CrashMark {
    CrashMark {
        fingerprint,
        vm: vm.into(),
        count,
        epoch,
        age: Duration::from_millis(u64::from(age)),
    }
}

fn any_list() -> impl Strategy<Value = ListNews> {
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
        any::<u64>(),
        any::<u16>(),
        prop::collection::vec(entry, 0..6),
        prop::collection::vec("[a-z]{1,9}".prop_map(SmolStr::from), 0..4),
    )
        .prop_map(|(base, version, settle, entries, gone)| ListNews {
            base,
            version,
            settle_left: Duration::from_millis(u64::from(settle)),
            entries,
            gone,
        })
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
