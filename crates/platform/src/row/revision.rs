//! Rows of accepted configuration files.

use super::{add_checksum, malformed, verify_checksum};
use crate::StoreError;
use gentianridge_core::RevisionRecord;
use prost::Message;

#[derive(Clone, PartialEq, Message)]
struct RevisionRow {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(string, tag = "2")]
    submission: String,
    #[prost(string, tag = "3")]
    author: String,
    #[prost(uint64, tag = "4")]
    submitted_ms: u64,
    #[prost(string, tag = "5")]
    text: String,
}

/// Encodes a revision as the contents of a row.
pub fn encode_revision(record: &RevisionRecord) -> Vec<u8> {
    let row = RevisionRow {
        number: record.number,
        submission: record.submission.to_string(),
        author: record.author.to_string(),
        submitted_ms: record.submitted_ms,
        text: record.text.clone(),
    };
    add_checksum(&row.encode_to_vec())
}

/// Decodes a revision from the contents of a row.
///
/// # Errors
///
/// Fails with [`crate::StoreErrorKind::Malformed`] if any byte was changed.
pub fn decode_revision(bytes: &[u8]) -> Result<RevisionRecord, StoreError> {
    let row = RevisionRow::decode(verify_checksum(bytes)?)
        .map_err(|error| malformed(error.to_string()))?;
    Ok(RevisionRecord {
        number: row.number,
        submission: row.submission.into(),
        author: row.author.into(),
        submitted_ms: row.submitted_ms,
        text: row.text,
    })
}
