//! The datagram that VMs on the platform send each other.

use crate::{WireError, WireErrorKind};
use gentianridge_core::{CrashMark, Incarnation, TargetEntry};
use prost::Message;
use smol_str::SmolStr;
use std::time::Duration;

/// Newest format that this process reads and the one that it writes.
const FORMAT: u32 = 1;

/// Attempts in flight on one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoad {
    /// Digest of the target's start, see `Incarnation::get_digest`.
    pub target: u64,
    /// Attempts of the sender in flight.
    pub in_flight: u16,
}

/// What one VM tells the others many times a second.
///
/// A datagram holds the whole of what it tells, so that a lost one is made
/// good by the next and an old one can be dropped.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerDatagram {
    /// Sender.
    pub vm: SmolStr,
    /// Failure domain of the sender.
    pub domain: SmolStr,
    /// Unix time of the sender's start in milliseconds.
    pub incarnation: u64,
    /// Number of the datagram since the start.
    pub seq: u64,
    /// Version of the configuration in force.
    pub version: u64,
    /// True if the sender wants to be told at once what the receiver knows.
    pub is_hello: bool,
    /// True if the sender is stopping.
    pub is_leaving: bool,
    /// Targets on which the sender has attempts in flight.
    pub loads: Vec<TargetLoad>,
    /// Crashes of targets under a request that the sender saw itself.
    pub crashes: Vec<CrashMark>,
    /// What the sender has just read of the list of targets.
    pub list: Option<ListNews>,
}

/// A reading of the list of targets, told to those who then need not read it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListNews {
    /// Version of the store after which the changes follow.
    pub base: u64,
    /// Version of the store up to which they reach.
    pub version: u64,
    /// Time for which entries that go may have lapsed, because the store
    /// returned lately.
    pub settle_left: Duration,
    /// New or changed entries.
    pub entries: Vec<TargetEntry>,
    /// Names of the targets whose entries have gone.
    pub gone: Vec<SmolStr>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EncodedCrash {
    #[prost(fixed64, tag = "1")]
    fingerprint: u64,
    #[prost(uint32, tag = "2")]
    count: u32,
    #[prost(uint32, tag = "3")]
    epoch: u32,
    #[prost(uint32, tag = "4")]
    age_ms: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EncodedList {
    #[prost(uint64, tag = "1")]
    base: u64,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(uint32, tag = "3")]
    settle_left_ms: u32,
    #[prost(message, repeated, tag = "4")]
    entries: Vec<EncodedEntry>,
    #[prost(string, repeated, tag = "5")]
    gone: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EncodedEntry {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(uint64, tag = "2")]
    born_ms: u64,
    #[prost(string, tag = "3")]
    service: String,
    #[prost(string, tag = "4")]
    addr: String,
    #[prost(string, tag = "5")]
    domain: String,
    #[prost(uint32, tag = "6")]
    slots: u32,
    #[prost(bool, tag = "7")]
    is_draining: bool,
    #[prost(uint32, tag = "8")]
    cold_left_ms: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Encoded {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(string, tag = "2")]
    vm: String,
    #[prost(fixed64, tag = "3")]
    incarnation: u64,
    #[prost(uint64, tag = "4")]
    seq: u64,
    #[prost(uint64, tag = "5")]
    version: u64,
    #[prost(bool, tag = "6")]
    is_hello: bool,
    #[prost(bool, tag = "7")]
    is_leaving: bool,
    #[prost(fixed64, repeated, tag = "8")]
    targets: Vec<u64>,
    #[prost(uint32, repeated, tag = "9")]
    in_flight: Vec<u32>,
    #[prost(message, repeated, tag = "10")]
    crashes: Vec<EncodedCrash>,
    #[prost(message, optional, tag = "12")]
    list: Option<EncodedList>,
    #[prost(string, tag = "13")]
    domain: String,
}

impl PeerDatagram {
    /// Largest datagram, which fits into one packet on every usual link.
    pub const MAX_BYTES: usize = 1_200;

    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        let encoded = Encoded {
            format: FORMAT,
            vm: self.vm.to_string(),
            incarnation: self.incarnation,
            seq: self.seq,
            version: self.version,
            is_hello: self.is_hello,
            is_leaving: self.is_leaving,
            targets: self.loads.iter().map(|load| load.target).collect(),
            in_flight: self
                .loads
                .iter()
                .map(|load| u32::from(load.in_flight))
                .collect(),
            crashes: self.crashes.iter().map(encode_crash).collect(),
            list: self.list.as_ref().map(encode_list),
            domain: self.domain.to_string(),
        };
        encoded.encode_to_vec()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no datagram of a known format.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let encoded = Encoded::decode(bytes)
            .map_err(|error| WireError::new(WireErrorKind::Malformed, error.to_string()))?;
        if encoded.format > FORMAT {
            let detail = format!("format {}", encoded.format);
            return Err(WireError::new(WireErrorKind::Version, detail));
        }
        let loads = encoded.targets.iter().zip(&encoded.in_flight);
        let vm = SmolStr::from(encoded.vm);
        let crashes = encoded.crashes.iter();
        Ok(Self {
            incarnation: encoded.incarnation,
            seq: encoded.seq,
            version: encoded.version,
            is_hello: encoded.is_hello,
            is_leaving: encoded.is_leaving,
            loads: loads
                .map(|(target, count)| TargetLoad {
                    target: *target,
                    in_flight: clamp(*count),
                })
                .collect(),
            crashes: crashes.map(|mark| decode_crash(&vm, mark)).collect(),
            list: encoded.list.map(decode_list).transpose()?,
            domain: encoded.domain.into(),
            vm,
        })
    }
}

fn encode_crash(mark: &CrashMark) -> EncodedCrash {
    EncodedCrash {
        fingerprint: mark.fingerprint,
        count: u32::from(mark.count),
        epoch: u32::from(mark.epoch),
        age_ms: millis_of(mark.age),
    }
}

/// A mark in a datagram is always one of its sender.
fn decode_crash(vm: &SmolStr, mark: &EncodedCrash) -> CrashMark {
    CrashMark {
        fingerprint: mark.fingerprint,
        vm: vm.clone(),
        count: clamp(mark.count),
        epoch: clamp(mark.epoch),
        age: Duration::from_millis(u64::from(mark.age_ms)),
    }
}

fn encode_list(list: &ListNews) -> EncodedList {
    EncodedList {
        base: list.base,
        version: list.version,
        settle_left_ms: millis_of(list.settle_left),
        entries: list.entries.iter().map(encode_entry).collect(),
        gone: list.gone.iter().map(SmolStr::to_string).collect(),
    }
}

fn encode_entry(entry: &TargetEntry) -> EncodedEntry {
    EncodedEntry {
        id: entry.incarnation.id.to_string(),
        born_ms: entry.incarnation.born_ms,
        service: entry.service.to_string(),
        addr: entry.addr.to_string(),
        domain: entry.domain.to_string(),
        slots: u32::from(entry.slots),
        is_draining: entry.is_draining,
        cold_left_ms: millis_of(entry.cold_left),
    }
}

fn decode_list(list: EncodedList) -> Result<ListNews, WireError> {
    let entries: Result<Vec<TargetEntry>, WireError> =
        list.entries.into_iter().map(decode_entry).collect();
    Ok(ListNews {
        base: list.base,
        version: list.version,
        settle_left: Duration::from_millis(u64::from(list.settle_left_ms)),
        entries: entries?,
        gone: list.gone.into_iter().map(SmolStr::from).collect(),
    })
}

fn decode_entry(entry: EncodedEntry) -> Result<TargetEntry, WireError> {
    let addr = entry.addr.parse().map_err(|error| {
        WireError::new(
            WireErrorKind::Malformed,
            format!("{:?}: {error}", entry.addr),
        )
    })?;
    Ok(TargetEntry {
        incarnation: Incarnation {
            id: entry.id.into(),
            born_ms: entry.born_ms,
        },
        service: entry.service.into(),
        addr,
        domain: entry.domain.into(),
        slots: clamp(entry.slots),
        is_draining: entry.is_draining,
        cold_left: Duration::from_millis(u64::from(entry.cold_left_ms)),
    })
}

fn millis_of(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn clamp(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
