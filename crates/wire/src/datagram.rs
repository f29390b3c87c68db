//! The datagram that VMs on the platform exchange.

use crate::convert::{
    decode_addr, decode_crash, decode_peer, encode_addr, encode_crash, encode_peer, malformed,
};
use crate::message::{CrashMessage, PeerViewMessage};
use crate::{WireError, WireErrorKind};
use gentianridge_core::{
    ConfigProof, CrashRecord, EraNotice, Evacuations, HeartbeatSummary, Incarnation, PeerView,
    StoreVersion, TargetEntry, TargetListUpdate, UpdateContent,
};
use prost::Message;
use smol_str::SmolStr;
use std::time::Duration;

/// The only format that this process encodes and decodes.
const FORMAT: u32 = 2;

/// Message that a VM sends to some of its peers in every gossip round.
///
/// Each datagram is self-contained: the next one replaces a lost one, and an
/// old one can be dropped. Receivers relay what is new to them;
/// docs/decisions/0016-bounded-exchange.md describes how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerDatagram {
    /// State of the sender.
    pub me: PeerView,
    /// True if the sender requests an immediate reply with the state of the receiver.
    pub is_hello: bool,
    /// Newest revision of the configuration that the sender was notified of,
    /// whether or not it is in force on the sender.
    pub newest_revision: u64,
    /// Crashes of targets while they ran a request, recorded by any VM, newest first.
    pub crashes: Vec<CrashRecord>,
    /// Changes from the newest read of the target list, sent in a limited
    /// number of rounds.
    pub list: Option<TargetListUpdate>,
    /// Digests of incarnations that announced that they are leaving, newest first.
    pub leaving: Vec<u64>,
    /// Digests of incarnations that requested a pause from the sender, newest first.
    pub paused: Vec<u64>,
    /// Failure domains that operators have emptied, if any ever was.
    pub evacuations: Option<Evacuations>,
    /// Newest proof of a configuration that the sender has, if keys need one.
    pub proof: Option<ConfigProof>,
    /// Newest era of the store that the sender knows, if the store states eras.
    pub era: Option<EraNotice>,
    /// Views of other VMs.
    pub peers: Vec<PeerView>,
    /// Summaries of recent heartbeats of further VMs.
    pub summaries: Vec<HeartbeatSummary>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct EncodedList {
    #[prost(uint64, tag = "1")]
    base: u64,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(uint32, tag = "3")]
    settle_left_ms: u32,
    #[prost(message, repeated, tag = "4")]
    entries: Vec<EncodedEntry>,
    #[prost(string, repeated, tag = "5")]
    removed: Vec<String>,
    #[prost(uint32, tag = "6")]
    age_ms: u32,
    /// Names of services and failure domains, to which entries refer by index.
    #[prost(string, repeated, tag = "7")]
    names: Vec<String>,
    #[prost(uint64, tag = "8")]
    revision: u64,
    #[prost(string, repeated, tag = "9")]
    unreadable: Vec<String>,
    /// Missing from messages of processes before version 0.2, which no list matches.
    #[prost(fixed64, tag = "10")]
    digest: u64,
    /// 0 for changes, 1 for a complete list, 2 if the changes are omitted.
    #[prost(uint32, tag = "11")]
    content: u32,
    /// Eras of the version and of the base; 0 in messages of processes that do not look at
    /// eras.
    #[prost(uint64, tag = "12")]
    era: u64,
    #[prost(uint64, tag = "13")]
    base_era: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EncodedEntry {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(uint64, tag = "2")]
    born_ms: u64,
    #[prost(uint32, tag = "3")]
    service: u32,
    #[prost(bytes = "vec", tag = "4")]
    addr: Vec<u8>,
    #[prost(uint32, tag = "5")]
    domain: u32,
    #[prost(uint32, tag = "6")]
    slots: u32,
    #[prost(bool, tag = "7")]
    is_draining: bool,
    #[prost(uint32, tag = "8")]
    cold_left_ms: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EncodedDatagram {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(message, optional, tag = "2")]
    me: Option<PeerViewMessage>,
    #[prost(bool, tag = "3")]
    is_hello: bool,
    #[prost(message, repeated, tag = "4")]
    crashes: Vec<CrashMessage>,
    #[prost(message, optional, tag = "5")]
    list: Option<EncodedList>,
    #[prost(message, repeated, tag = "6")]
    peers: Vec<PeerViewMessage>,
    #[prost(fixed32, repeated, tag = "7")]
    summary_peers: Vec<u32>,
    #[prost(uint64, repeated, tag = "8")]
    summary_seqs: Vec<u64>,
    #[prost(uint64, tag = "9")]
    newest_revision: u64,
    #[prost(fixed64, repeated, tag = "10")]
    leaving: Vec<u64>,
    #[prost(fixed64, repeated, tag = "11")]
    paused: Vec<u64>,
    #[prost(message, optional, tag = "12")]
    evacuations: Option<EncodedEvacuations>,
    #[prost(message, optional, tag = "13")]
    proof: Option<EncodedProof>,
    #[prost(message, optional, tag = "14")]
    era: Option<EncodedEra>,
}

/// Missing from messages of processes that do not look at eras.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct EncodedEra {
    #[prost(uint64, tag = "1")]
    era: u64,
    #[prost(uint32, optional, tag = "2")]
    age_ms: Option<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct EncodedEvacuations {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(string, repeated, tag = "2")]
    domains: Vec<String>,
    /// 0 in messages of processes that do not look at eras.
    #[prost(uint64, tag = "3")]
    era: u64,
    #[prost(string, repeated, tag = "4")]
    held: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct EncodedProof {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(uint64, tag = "2")]
    at_ms: u64,
    /// 0 in messages of processes that do not look at eras.
    #[prost(uint64, tag = "3")]
    era: u64,
}

impl PeerDatagram {
    /// Maximum size of a datagram, which fits into one packet on every usual link.
    pub const MAX_BYTES: usize = 1_200;

    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        let encoded = EncodedDatagram {
            format: FORMAT,
            me: Some(encode_peer(&self.me)),
            is_hello: self.is_hello,
            newest_revision: self.newest_revision,
            crashes: self.crashes.iter().map(encode_crash).collect(),
            list: self.list.as_ref().map(encode_list),
            peers: self.peers.iter().map(encode_peer).collect(),
            summary_peers: self.summaries.iter().map(|summary| summary.peer).collect(),
            summary_seqs: self.summaries.iter().map(|summary| summary.seq).collect(),
            leaving: self.leaving.clone(),
            paused: self.paused.clone(),
            evacuations: self.evacuations.as_ref().map(encode_evacuations),
            proof: self.proof.map(encode_proof),
            era: self.era.map(encode_era),
        };
        encoded.encode_to_vec()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a datagram of this format.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let encoded =
            EncodedDatagram::decode(bytes).map_err(|error| malformed(error.to_string()))?;
        if encoded.format != FORMAT {
            let detail = format!("datagram format {} is not supported", encoded.format);
            return Err(WireError::new(WireErrorKind::Version, detail));
        }
        let me = encoded
            .me
            .ok_or_else(|| malformed("datagram without a sender"))?;
        let crashes = encoded.crashes.into_iter().map(decode_crash);
        let peers = encoded.peers.into_iter().map(decode_peer);
        let summaries = encoded.summary_peers.iter().zip(&encoded.summary_seqs);
        Ok(Self {
            me: decode_peer(me)?,
            is_hello: encoded.is_hello,
            newest_revision: encoded.newest_revision,
            crashes: crashes.collect::<Result<_, _>>()?,
            list: encoded.list.map(decode_list).transpose()?,
            leaving: encoded.leaving,
            paused: encoded.paused,
            evacuations: encoded.evacuations.map(decode_evacuations),
            proof: encoded.proof.as_ref().map(decode_proof),
            era: encoded.era.as_ref().map(decode_era),
            peers: peers.collect::<Result<_, _>>()?,
            summaries: summaries
                .map(|(&peer, &seq)| HeartbeatSummary { peer, seq })
                .collect(),
        })
    }
}

pub(crate) fn encode_evacuations(evacuations: &Evacuations) -> EncodedEvacuations {
    let encode = |domains: &[SmolStr]| domains.iter().map(SmolStr::to_string).collect();
    EncodedEvacuations {
        version: evacuations.version.number,
        domains: encode(&evacuations.domains),
        era: evacuations.version.era,
        held: encode(&evacuations.held),
    }
}

pub(crate) fn decode_evacuations(encoded: EncodedEvacuations) -> Evacuations {
    let decode = |domains: Vec<String>| domains.into_iter().map(SmolStr::from).collect();
    let version = StoreVersion::new(encoded.era, encoded.version);
    Evacuations {
        held: decode(encoded.held),
        ..Evacuations::new(version, decode(encoded.domains))
    }
}

/// Rounds the moment down, so that no proof looks more recent than it is.
pub(crate) fn encode_proof(proof: ConfigProof) -> EncodedProof {
    EncodedProof {
        revision: proof.revision,
        at_ms: u64::try_from(proof.at.as_millis()).unwrap_or(0),
        era: proof.era,
    }
}

pub(crate) fn decode_proof(encoded: &EncodedProof) -> ConfigProof {
    ConfigProof {
        era: encoded.era,
        revision: encoded.revision,
        at: Duration::from_millis(encoded.at_ms),
    }
}

/// Rounds the age down, so that the return does not look earlier than it was noticed.
pub(crate) fn encode_era(notice: EraNotice) -> EncodedEra {
    EncodedEra {
        era: notice.era,
        age_ms: notice.age.map(saturate_ms),
    }
}

pub(crate) fn decode_era(encoded: &EncodedEra) -> EraNotice {
    let age = encoded.age_ms;
    EraNotice {
        era: encoded.era,
        age: age.map(|age_ms| Duration::from_millis(u64::from(age_ms))),
    }
}

pub(crate) fn encode_list(list: &TargetListUpdate) -> EncodedList {
    let mut names = Vec::new();
    let entries = list.entries.iter();
    let entries = entries.map(|entry| encode_entry(entry, &mut names));
    EncodedList {
        base: list.base.number,
        version: list.version.number,
        era: list.version.era,
        base_era: list.base.era,
        revision: list.revision,
        age_ms: saturate_ms(list.age),
        settle_left_ms: saturate_ms(list.settle_left),
        entries: entries.collect(),
        removed: list.removed.iter().map(SmolStr::to_string).collect(),
        unreadable: list.unreadable.iter().map(SmolStr::to_string).collect(),
        digest: list.digest,
        content: encode_content(list.content),
        names,
    }
}

fn encode_entry(entry: &TargetEntry, names: &mut Vec<String>) -> EncodedEntry {
    EncodedEntry {
        id: entry.incarnation.id.to_string(),
        born_ms: entry.incarnation.born_ms,
        service: index_of(&entry.service, names),
        addr: encode_addr(entry.addr),
        domain: index_of(&entry.domain, names),
        slots: u32::from(entry.slots),
        is_draining: entry.is_draining,
        cold_left_ms: saturate_ms(entry.cold_left),
    }
}

/// Returns the index of the name, which is added if it is missing.
fn index_of(name: &SmolStr, names: &mut Vec<String>) -> u32 {
    let index = names.iter().position(|other| other == name);
    let index = index.unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    });
    index as u32
}

pub(crate) fn decode_list(list: EncodedList) -> Result<TargetListUpdate, WireError> {
    let names: Vec<SmolStr> = list.names.into_iter().map(SmolStr::from).collect();
    let entries = list.entries.into_iter();
    let entries = entries.map(|entry| decode_entry(entry, &names));
    Ok(TargetListUpdate {
        base: StoreVersion::new(list.base_era, list.base),
        version: StoreVersion::new(list.era, list.version),
        revision: list.revision,
        age: Duration::from_millis(u64::from(list.age_ms)),
        settle_left: Duration::from_millis(u64::from(list.settle_left_ms)),
        entries: entries.collect::<Result<_, _>>()?,
        removed: list.removed.into_iter().map(SmolStr::from).collect(),
        unreadable: list.unreadable.into_iter().map(SmolStr::from).collect(),
        digest: list.digest,
        content: decode_content(list.content)?,
    })
}

fn decode_entry(entry: EncodedEntry, names: &[SmolStr]) -> Result<TargetEntry, WireError> {
    let name_at = |index: u32| {
        let name = names.get(index as usize).cloned();
        name.ok_or_else(|| malformed("entry with a name index out of range"))
    };
    Ok(TargetEntry {
        incarnation: Incarnation {
            id: entry.id.into(),
            born_ms: entry.born_ms,
        },
        service: name_at(entry.service)?,
        addr: decode_addr(&entry.addr)?,
        domain: name_at(entry.domain)?,
        slots: saturate_count(entry.slots),
        is_draining: entry.is_draining,
        cold_left: Duration::from_millis(u64::from(entry.cold_left_ms)),
    })
}

fn encode_content(content: UpdateContent) -> u32 {
    match content {
        UpdateContent::Changes => 0,
        UpdateContent::Full => 1,
        UpdateContent::Omitted => 2,
    }
}

fn decode_content(number: u32) -> Result<UpdateContent, WireError> {
    match number {
        0 => Ok(UpdateContent::Changes),
        1 => Ok(UpdateContent::Full),
        2 => Ok(UpdateContent::Omitted),
        _ => Err(malformed(format!("list content {number} is unknown"))),
    }
}

fn saturate_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn saturate_count(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
