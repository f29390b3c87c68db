//! Contents of rows.

mod claim;
mod revision;

pub use claim::{decode_claim, encode_claim};
pub use revision::{decode_revision, encode_revision};

use crate::{StoreError, StoreErrorKind};

fn malformed(context: impl Into<String>) -> StoreError {
    StoreError::new(StoreErrorKind::Malformed, context)
}

/// Checksum that tells a damaged row from an intact one.
fn checksum(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}

/// Adds the checksum in front of the contents.
fn seal(bytes: &[u8]) -> Vec<u8> {
    let mut sealed = checksum(bytes).to_le_bytes().to_vec();
    sealed.extend_from_slice(bytes);
    sealed
}

/// Takes the checksum off and compares it.
fn open(sealed: &[u8]) -> Result<&[u8], StoreError> {
    let (head, bytes) = sealed
        .split_first_chunk::<8>()
        .ok_or_else(|| malformed("row shorter than its checksum"))?;
    if u64::from_le_bytes(*head) != checksum(bytes) {
        return Err(malformed("checksum does not match"));
    }
    Ok(bytes)
}
