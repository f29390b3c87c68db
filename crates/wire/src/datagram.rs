//! The datagram that VMs on the platform send each other.

use crate::{WireError, WireErrorKind};
use prost::Message;
use smol_str::SmolStr;

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
    /// Fingerprints of requests under which targets crashed, with the crashes
    /// that the sender saw.
    pub crashes: Vec<(u64, u16)>,
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
    #[prost(fixed64, repeated, tag = "10")]
    crash_prints: Vec<u64>,
    #[prost(uint32, repeated, tag = "11")]
    crash_counts: Vec<u32>,
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
            crash_prints: self.crashes.iter().map(|(print, _)| *print).collect(),
            crash_counts: self
                .crashes
                .iter()
                .map(|(_, count)| u32::from(*count))
                .collect(),
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
        let crashes = encoded.crash_prints.iter().zip(&encoded.crash_counts);
        Ok(Self {
            vm: encoded.vm.into(),
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
            crashes: crashes
                .map(|(print, count)| (*print, clamp(*count)))
                .collect(),
        })
    }
}

fn clamp(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
