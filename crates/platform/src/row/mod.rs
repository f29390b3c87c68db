//! Encoding of rows.

mod claim;
mod revision;

pub use claim::{decode_claim, encode_claim};
pub use revision::{decode_revision, encode_revision};

use crate::{StoreError, StoreErrorKind};

fn malformed(context: impl Into<String>) -> StoreError {
    StoreError::new(StoreErrorKind::Malformed, context)
}

/// Returns the checksum with which corrupted rows are detected.
fn compute_checksum(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}

/// Prepends the checksum to the contents.
fn add_checksum(bytes: &[u8]) -> Vec<u8> {
    let mut row = compute_checksum(bytes).to_le_bytes().to_vec();
    row.extend_from_slice(bytes);
    row
}

/// Verifies the checksum and returns the contents without it.
fn verify_checksum(row: &[u8]) -> Result<&[u8], StoreError> {
    let (expected, bytes) = row
        .split_first_chunk::<8>()
        .ok_or_else(|| malformed("row shorter than its checksum"))?;
    if u64::from_le_bytes(*expected) != compute_checksum(bytes) {
        return Err(malformed("row checksum does not match"));
    }
    Ok(bytes)
}
