//! Conversion between core types and encoded messages.

use crate::message::{
    Body, CrashMessage, Envelope, FORMAT, HeartbeatMessage, NoticeMessage, PeerViewMessage,
    RevisionMessage,
};
use crate::{WireError, WireErrorKind};
use gentianridge_core::{
    CrashRecord, Heartbeat, HybridTime, PeerView, RevisionRecord, TargetNotice,
};
use prost::Message;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// A message between two VMs.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// State of the sender and its view of its peers.
    Heartbeat(Heartbeat),
    /// Requests the revision in force if its number is larger than this one.
    FetchRevision(u64),
    /// A revision, sent on request or immediately after its acceptance.
    Revision(RevisionRecord),
    /// Reply to a message that needs no other reply.
    Ack,
}

impl PeerMessage {
    /// Encodes the message without the frame header.
    pub fn encode(&self) -> Vec<u8> {
        let body = match self {
            Self::Heartbeat(heartbeat) => Body::Heartbeat(encode_heartbeat(heartbeat)),
            Self::FetchRevision(number) => Body::FetchRevision(*number),
            Self::Revision(record) => Body::Revision(encode_revision(record)),
            Self::Ack => Body::Ack(true),
        };
        let envelope = Envelope {
            format: FORMAT,
            body: Some(body),
        };
        envelope.encode_to_vec()
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a message, if the format is newer than this
    /// process supports or if a value is invalid, such as an address of a wrong
    /// length.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let envelope = Envelope::decode(bytes).map_err(|error| malformed(error.to_string()))?;
        if envelope.format > FORMAT {
            let context = format!("message format {} is newer than {FORMAT}", envelope.format);
            return Err(WireError::new(WireErrorKind::Version, context));
        }
        match envelope
            .body
            .ok_or_else(|| malformed("message without a body"))?
        {
            Body::Heartbeat(message) => decode_heartbeat(message).map(Self::Heartbeat),
            Body::FetchRevision(number) => Ok(Self::FetchRevision(number)),
            Body::Revision(message) => Ok(Self::Revision(decode_revision(message))),
            Body::Ack(_) => Ok(Self::Ack),
        }
    }
}

pub(crate) fn malformed(context: impl Into<String>) -> WireError {
    WireError::new(WireErrorKind::Malformed, context)
}

fn encode_heartbeat(heartbeat: &Heartbeat) -> HeartbeatMessage {
    HeartbeatMessage {
        fleet: heartbeat.fleet.to_string(),
        me: Some(encode_peer(&heartbeat.me)),
        millis: heartbeat.at.millis,
        logical: heartbeat.at.logical,
        crashes: heartbeat.crashes.iter().map(encode_crash).collect(),
        notices: heartbeat.notices.iter().map(encode_notice).collect(),
        peers: heartbeat.peers.iter().map(encode_peer).collect(),
    }
}

fn decode_heartbeat(message: HeartbeatMessage) -> Result<Heartbeat, WireError> {
    let me = message
        .me
        .ok_or_else(|| malformed("heartbeat without a sender"))?;
    Ok(Heartbeat {
        fleet: message.fleet.into(),
        me: decode_peer(me)?,
        at: HybridTime {
            millis: message.millis,
            logical: message.logical,
        },
        crashes: message
            .crashes
            .into_iter()
            .map(decode_crash)
            .collect::<Result<_, _>>()?,
        notices: message.notices.into_iter().map(decode_notice).collect(),
        peers: message
            .peers
            .into_iter()
            .map(decode_peer)
            .collect::<Result<_, _>>()?,
    })
}

pub(crate) fn encode_peer(view: &PeerView) -> PeerViewMessage {
    PeerViewMessage {
        vm: view.vm.to_string(),
        incarnation: view.incarnation,
        seq: view.seq,
        addr: encode_addr(view.addr),
        operator_addr: view.operator_addr.map(encode_addr).unwrap_or_default(),
        is_leaving: view.is_leaving,
        revision: view.revision,
        domain: view.domain.to_string(),
    }
}

pub(crate) fn decode_peer(message: PeerViewMessage) -> Result<PeerView, WireError> {
    if message.vm.is_empty() {
        return Err(malformed("VM without a name"));
    }
    Ok(PeerView {
        vm: message.vm.into(),
        incarnation: message.incarnation,
        seq: message.seq,
        addr: decode_addr(&message.addr)?,
        operator_addr: decode_optional_addr(&message.operator_addr)?,
        is_leaving: message.is_leaving,
        revision: message.revision,
        domain: message.domain.into(),
    })
}

/// Encodes the octets of the IP address, followed by the port in big-endian order.
pub(crate) fn encode_addr(addr: SocketAddr) -> Vec<u8> {
    let mut bytes = match addr.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend_from_slice(&addr.port().to_be_bytes());
    bytes
}

pub(crate) fn decode_addr(bytes: &[u8]) -> Result<SocketAddr, WireError> {
    let (ip, port) = bytes
        .split_last_chunk::<2>()
        .ok_or_else(|| malformed("address without a port"))?;
    let port = u16::from_be_bytes(*port);
    if let Ok(octets) = <[u8; 4]>::try_from(ip) {
        return Ok(SocketAddr::from((octets, port)));
    }
    <[u8; 16]>::try_from(ip)
        .map(|octets| SocketAddr::from((octets, port)))
        .map_err(|_| malformed("address of a wrong length"))
}

fn decode_optional_addr(bytes: &[u8]) -> Result<Option<SocketAddr>, WireError> {
    if bytes.is_empty() {
        return Ok(None);
    }
    decode_addr(bytes).map(Some)
}

fn encode_notice(notice: &TargetNotice) -> NoticeMessage {
    NoticeMessage {
        service: notice.service.to_string(),
        target: notice.target.to_string(),
        is_leaving: notice.is_leaving,
        millis: notice.at.millis,
        logical: notice.at.logical,
    }
}

fn decode_notice(message: NoticeMessage) -> TargetNotice {
    TargetNotice {
        service: message.service.into(),
        target: message.target.into(),
        is_leaving: message.is_leaving,
        at: HybridTime {
            millis: message.millis,
            logical: message.logical,
        },
    }
}

pub(crate) fn encode_crash(record: &CrashRecord) -> CrashMessage {
    CrashMessage {
        fingerprint: record.fingerprint,
        vm: record.vm.to_string(),
        count: u32::from(record.count),
        age_ms: record.age.as_millis() as u64,
        epoch: u32::from(record.epoch),
    }
}

pub(crate) fn decode_crash(message: CrashMessage) -> Result<CrashRecord, WireError> {
    let count = u16::try_from(message.count).map_err(|_| malformed("crash count out of range"))?;
    let epoch = u16::try_from(message.epoch).map_err(|_| malformed("crash epoch out of range"))?;
    Ok(CrashRecord {
        fingerprint: message.fingerprint,
        vm: message.vm.into(),
        count,
        epoch,
        age: Duration::from_millis(message.age_ms),
    })
}

fn encode_revision(record: &RevisionRecord) -> RevisionMessage {
    RevisionMessage {
        number: record.number,
        submission: record.submission.to_string(),
        author: record.author.to_string(),
        submitted_ms: record.submitted_ms,
        text: record.text.clone(),
    }
}

fn decode_revision(message: RevisionMessage) -> RevisionRecord {
    RevisionRecord {
        number: message.number,
        submission: message.submission.into(),
        author: message.author.into(),
        submitted_ms: message.submitted_ms,
        text: message.text,
    }
}
