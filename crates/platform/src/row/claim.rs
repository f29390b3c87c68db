//! Rows of the claims of once-only requests.

use super::{add_checksum, malformed, verify_checksum};
use crate::StoreError;
use gentianridge_core::{Claim, ClaimState, RecordedAnswer, RequestFingerprint};
use prost::Message;

#[derive(Clone, PartialEq, Message)]
struct ClaimRow {
    #[prost(bytes = "vec", tag = "1")]
    fingerprint: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    token: Vec<u8>,
    #[prost(string, tag = "3")]
    vm: String,
    #[prost(uint64, tag = "4")]
    deadline_ms: u64,
    #[prost(uint32, tag = "5")]
    state: u32,
    #[prost(message, optional, tag = "6")]
    answer: Option<AnswerRow>,
}

#[derive(Clone, PartialEq, Message)]
struct AnswerRow {
    #[prost(uint32, tag = "1")]
    status: u32,
    #[prost(message, repeated, tag = "2")]
    headers: Vec<HeaderRow>,
    #[prost(bytes = "vec", tag = "3")]
    body: Vec<u8>,
    #[prost(string, optional, tag = "4")]
    object: Option<String>,
}

#[derive(Clone, PartialEq, Message)]
struct HeaderRow {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(bytes = "vec", tag = "2")]
    value: Vec<u8>,
}

const RUNNING: u32 = 1;
const NOT_RUN: u32 = 2;
const ANSWERED: u32 = 3;
const UNKNOWN: u32 = 4;

/// Encodes a claim as the contents of a row.
pub fn encode_claim(claim: &Claim) -> Vec<u8> {
    let (state, answer) = match &claim.state {
        ClaimState::Running => (RUNNING, None),
        ClaimState::NotRun => (NOT_RUN, None),
        ClaimState::Answered(answer) => (ANSWERED, Some(encode_answer(answer))),
        ClaimState::Unknown => (UNKNOWN, None),
    };
    let row = ClaimRow {
        fingerprint: claim.fingerprint.0.to_le_bytes().to_vec(),
        token: claim.token.to_le_bytes().to_vec(),
        vm: claim.vm.to_string(),
        deadline_ms: claim.deadline_ms,
        state,
        answer,
    };
    add_checksum(&row.encode_to_vec())
}

/// Decodes a claim from the contents of a row.
///
/// # Errors
///
/// Fails with [`crate::StoreErrorKind::Malformed`] if any byte was changed.
pub fn decode_claim(bytes: &[u8]) -> Result<Claim, StoreError> {
    let row =
        ClaimRow::decode(verify_checksum(bytes)?).map_err(|error| malformed(error.to_string()))?;
    Ok(Claim {
        fingerprint: RequestFingerprint(decode_u128(&row.fingerprint)?),
        token: decode_u128(&row.token)?,
        vm: row.vm.into(),
        deadline_ms: row.deadline_ms,
        state: decode_state(row.state, row.answer)?,
    })
}

fn decode_state(state: u32, answer: Option<AnswerRow>) -> Result<ClaimState, StoreError> {
    match (state, answer) {
        (RUNNING, None) => Ok(ClaimState::Running),
        (NOT_RUN, None) => Ok(ClaimState::NotRun),
        (ANSWERED, Some(answer)) => decode_answer(answer).map(ClaimState::Answered),
        (UNKNOWN, None) => Ok(ClaimState::Unknown),
        _ => Err(malformed(format!("invalid claim state {state}"))),
    }
}

fn decode_u128(bytes: &[u8]) -> Result<u128, StoreError> {
    let array = bytes
        .try_into()
        .map_err(|_| malformed("number of a wrong length"))?;
    Ok(u128::from_le_bytes(array))
}

fn encode_answer(answer: &RecordedAnswer) -> AnswerRow {
    AnswerRow {
        status: u32::from(answer.status),
        headers: answer
            .headers
            .iter()
            .map(|(name, value)| HeaderRow {
                name: name.to_string(),
                value: value.clone(),
            })
            .collect(),
        body: answer.body.clone(),
        object: answer.object.as_ref().map(ToString::to_string),
    }
}

fn decode_answer(row: AnswerRow) -> Result<RecordedAnswer, StoreError> {
    let status = u16::try_from(row.status).map_err(|_| malformed("HTTP status out of range"))?;
    Ok(RecordedAnswer {
        status,
        headers: row
            .headers
            .into_iter()
            .map(|header| (header.name.into(), header.value))
            .collect(),
        body: row.body,
        object: row.object.map(Into::into),
    })
}
