//! Requests for the state of a peer, on a connection.

use crate::convert::{decode_addr, decode_peer, encode_addr, encode_peer, malformed};
use crate::datagram::{
    EncodedEra, EncodedEvacuations, EncodedList, EncodedProof, decode_era, decode_evacuations,
    decode_list, decode_proof, encode_era, encode_evacuations, encode_list, encode_proof,
};
use crate::message::PeerViewMessage;
use crate::{WireError, WireErrorKind};
use gentianridge_core::{
    ConfigProof, EraNotice, Evacuations, PeerView, StoreTime, StoreVersion, TargetListUpdate,
    VmName,
};
use prost::Message;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The only format that this process encodes and decodes.
const FORMAT: u32 = 1;

/// Request for what a VM lacks of the state of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateRequest {
    /// Name of the requesting VM.
    pub vm: VmName,
    /// Revision of the configuration in force there, 0 if there is none.
    pub revision: u64,
    /// Version of its target list.
    pub list_version: Option<StoreVersion>,
    /// True if only a complete list helps.
    pub needs_full_list: bool,
    /// True if the requesting VM has no other VM in its membership.
    pub needs_peers: bool,
}

/// A configuration as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigState {
    /// Revision of the configuration.
    pub revision: u64,
    /// Row of the store.
    pub value: Vec<u8>,
}

/// State of a peer, as far as the requesting VM lacks it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StateReply {
    /// The configuration in force, if it is newer.
    pub config: Option<ConfigState>,
    /// The list, as the changes from the stated version or complete.
    pub list: Option<TargetListUpdate>,
    /// The live VMs in the membership of the peer, itself included.
    pub peers: Vec<PeerView>,
    /// Other VMs of the fleet that the peer knows and that do not answer it.
    pub absent: Vec<(VmName, SocketAddr)>,
    /// Number of VMs among which the peer divides shared budgets, 0 if it does not say.
    pub vms: u32,
    /// Failure domains that operators have emptied, if any ever was.
    pub evacuations: Option<Evacuations>,
    /// Newest proof of a configuration, if keys need one.
    pub proof: Option<ConfigProof>,
    /// Time of the store at the reply, if keys need a proof.
    pub store_time: Option<StoreTime>,
    /// Newest era of the store that the peer knows, if the store states eras.
    pub era: Option<EraNotice>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EncodedRequest {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(string, tag = "2")]
    vm: String,
    #[prost(uint64, tag = "3")]
    revision: u64,
    #[prost(uint64, optional, tag = "4")]
    list_version: Option<u64>,
    #[prost(bool, tag = "5")]
    needs_full_list: bool,
    #[prost(bool, tag = "6")]
    needs_peers: bool,
    /// 0 in messages of processes that do not look at eras.
    #[prost(uint64, tag = "7")]
    list_era: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EncodedConfig {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(bytes = "vec", tag = "2")]
    value: Vec<u8>,
    #[prost(fixed64, tag = "3")]
    checksum: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EncodedReply {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(message, optional, tag = "2")]
    config: Option<EncodedConfig>,
    #[prost(message, optional, tag = "3")]
    list: Option<EncodedList>,
    #[prost(message, repeated, tag = "4")]
    peers: Vec<PeerViewMessage>,
    #[prost(message, optional, tag = "5")]
    evacuations: Option<EncodedEvacuations>,
    #[prost(message, optional, tag = "6")]
    proof: Option<EncodedProof>,
    #[prost(message, optional, tag = "7")]
    store_time: Option<EncodedStoreTime>,
    #[prost(message, optional, tag = "8")]
    era: Option<EncodedEra>,
    #[prost(message, repeated, tag = "9")]
    absent: Vec<EncodedAbsent>,
    #[prost(uint32, tag = "10")]
    vms: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EncodedAbsent {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(bytes = "vec", tag = "2")]
    addr: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EncodedStoreTime {
    #[prost(uint64, tag = "1")]
    earliest_ms: u64,
    #[prost(uint64, tag = "2")]
    latest_ms: u64,
}

impl StateRequest {
    /// Maximum size of a request in bytes.
    pub const MAX_BYTES: usize = 1_024;

    /// Encodes the request without the frame header.
    pub fn encode(&self) -> Vec<u8> {
        let encoded = EncodedRequest {
            format: FORMAT,
            vm: self.vm.to_string(),
            revision: self.revision,
            list_version: self.list_version.map(|version| version.number),
            list_era: self.list_version.map_or(0, |version| version.era),
            needs_full_list: self.needs_full_list,
            needs_peers: self.needs_peers,
        };
        encoded.encode_to_vec()
    }

    /// Decodes a request.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a request of this format.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let encoded =
            EncodedRequest::decode(bytes).map_err(|error| malformed(error.to_string()))?;
        check_format(encoded.format)?;
        Ok(Self {
            vm: encoded.vm.into(),
            revision: encoded.revision,
            list_version: encoded
                .list_version
                .map(|number| StoreVersion::new(encoded.list_era, number)),
            needs_full_list: encoded.needs_full_list,
            needs_peers: encoded.needs_peers,
        })
    }
}

impl StateReply {
    /// Maximum size of a reply in bytes: a configuration and a list of some
    /// thousand entries each.
    pub const MAX_BYTES: usize = 8 << 20;

    /// Encodes the reply without the frame header.
    pub fn encode(&self) -> Vec<u8> {
        let config = self.config.as_ref().map(|config| EncodedConfig {
            revision: config.revision,
            checksum: xxh3_64(&config.value),
            value: config.value.clone(),
        });
        let encoded = EncodedReply {
            format: FORMAT,
            config,
            list: self.list.as_ref().map(encode_list),
            peers: self.peers.iter().map(encode_peer).collect(),
            absent: self.absent.iter().map(encode_absent).collect(),
            vms: self.vms,
            evacuations: self.evacuations.as_ref().map(encode_evacuations),
            proof: self.proof.map(encode_proof),
            store_time: self.store_time.map(encode_store_time),
            era: self.era.map(encode_era),
        };
        encoded.encode_to_vec()
    }

    /// Decodes a reply.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a reply of this format or if the configuration
    /// does not match its checksum.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let encoded = EncodedReply::decode(bytes).map_err(|error| malformed(error.to_string()))?;
        check_format(encoded.format)?;
        let peers = encoded.peers.into_iter().map(decode_peer);
        let absent = encoded.absent.into_iter().map(decode_absent);
        Ok(Self {
            config: encoded.config.map(decode_config).transpose()?,
            list: encoded.list.map(decode_list).transpose()?,
            peers: peers.collect::<Result<_, _>>()?,
            absent: absent.collect::<Result<_, _>>()?,
            vms: encoded.vms,
            evacuations: encoded.evacuations.map(decode_evacuations),
            proof: encoded.proof.as_ref().map(decode_proof),
            store_time: encoded.store_time.as_ref().map(decode_store_time),
            era: encoded.era.as_ref().map(decode_era),
        })
    }
}

fn encode_absent((vm, addr): &(VmName, SocketAddr)) -> EncodedAbsent {
    EncodedAbsent {
        vm: vm.to_string(),
        addr: encode_addr(*addr),
    }
}

fn decode_absent(encoded: EncodedAbsent) -> Result<(VmName, SocketAddr), WireError> {
    if encoded.vm.is_empty() {
        return Err(malformed("VM without a name"));
    }
    Ok((encoded.vm.into(), decode_addr(&encoded.addr)?))
}

/// Rounds the bounds outward, so that they hold for the rounded time too.
fn encode_store_time(time: StoreTime) -> EncodedStoreTime {
    let latest_ms = time.latest.as_micros().div_ceil(1_000);
    EncodedStoreTime {
        earliest_ms: u64::try_from(time.earliest.as_millis()).unwrap_or(0),
        latest_ms: u64::try_from(latest_ms).unwrap_or(u64::MAX),
    }
}

fn decode_store_time(encoded: &EncodedStoreTime) -> StoreTime {
    StoreTime {
        earliest: Duration::from_millis(encoded.earliest_ms),
        latest: Duration::from_millis(encoded.latest_ms),
    }
}

fn decode_config(config: EncodedConfig) -> Result<ConfigState, WireError> {
    if xxh3_64(&config.value) != config.checksum {
        return Err(malformed(format!(
            "configuration {} does not match its checksum",
            config.revision
        )));
    }
    Ok(ConfigState {
        revision: config.revision,
        value: config.value,
    })
}

fn check_format(format: u32) -> Result<(), WireError> {
    if format == FORMAT {
        return Ok(());
    }
    let detail = format!("state format {format} is not supported");
    Err(WireError::new(WireErrorKind::Version, detail))
}
