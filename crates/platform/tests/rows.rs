//! Rows of the table service and conditional writes.

use gentianridge_core::{Claim, ClaimState, RecordedAnswer, RequestFingerprint, RevisionRecord};
use gentianridge_platform::{
    Condition, MemoryPlatform, RowWrite, StoreErrorKind, decode_claim, decode_revision,
    encode_claim, encode_revision,
};
use std::time::Duration;

fn make_claim(state: ClaimState) -> Claim {
    Claim {
        fingerprint: RequestFingerprint(5),
        token: 6,
        vm: "vm1".into(),
        deadline_ms: 7,
        state,
    }
}

fn make_answered() -> ClaimState {
    ClaimState::Answered(RecordedAnswer {
        status: 200,
        headers: vec![("content-type".into(), b"text/plain".to_vec())],
        body: vec![0, 1, 2, 255],
        object: Some("once-6".into()),
    })
}

#[test]
fn round_trip() {
    for state in [
        ClaimState::Running,
        ClaimState::NotRun,
        ClaimState::Unknown,
        make_answered(),
    ] {
        let claim = make_claim(state);
        assert_eq!(decode_claim(&encode_claim(&claim)).expect("a claim"), claim);
    }
}

#[test]
fn corrupted_rows() {
    let claim_row = encode_claim(&make_claim(make_answered()));
    let revision_row = encode_revision(&RevisionRecord {
        number: 3,
        submission: "s".into(),
        author: "a".into(),
        submitted_ms: 4,
        text: "[fleet]".into(),
    });
    for at in 0..claim_row.len() {
        let mut changed = claim_row.clone();
        changed[at] ^= 0x40;
        let error = decode_claim(&changed).expect_err("a changed row");
        assert_eq!(error.get_kind(), StoreErrorKind::Malformed);
    }
    for at in 0..revision_row.len() {
        let mut changed = revision_row.clone();
        changed[at] ^= 0x40;
        assert!(decode_revision(&changed).is_err(), "byte {at}");
    }
    for length in 0..claim_row.len() {
        assert!(
            decode_claim(&claim_row[..length]).is_err(),
            "cut to {length} bytes"
        );
    }
}

fn write(
    store: &MemoryPlatform,
    condition: Condition,
    value: &[u8],
) -> Result<gentianridge_core::Version, StoreErrorKind> {
    let row_write = RowWrite {
        condition,
        value: value.to_vec(),
        ttl: None,
    };
    store
        .write("t", "k", row_write)
        .map_err(|error| error.get_kind())
}

#[test]
fn conditional_writes() {
    let store = MemoryPlatform::new();
    let first = write(&store, Condition::Absent, b"1").expect("no row yet");
    assert_eq!(
        write(&store, Condition::Absent, b"2"),
        Err(StoreErrorKind::Conflict)
    );
    let second = write(&store, Condition::Matches(first), b"3").expect("the version matches");
    assert_eq!(
        write(&store, Condition::Matches(first), b"4"),
        Err(StoreErrorKind::Conflict)
    );
    let row = store.read("t", "k").expect("a row");
    assert_eq!((row.value, row.version), (b"3".to_vec(), second));
}

#[test]
fn expired_row() {
    let store = MemoryPlatform::new();
    let row_write = RowWrite {
        condition: Condition::Absent,
        value: b"1".to_vec(),
        ttl: Some(Duration::ZERO),
    };
    store.write("t", "k", row_write).expect("no row yet");
    assert_eq!(store.read("t", "k"), None);
    write(&store, Condition::Absent, b"2").expect("an expired row does not exist");
}
