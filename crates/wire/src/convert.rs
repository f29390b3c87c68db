//! Core values to messages and back.

use crate::message::{
    Body, Envelope, FORMAT, HeartbeatMessage, MarkMessage, NoticeMessage, PeerMessageView,
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
    /// What the sender says about itself and its peers.
    Heartbeat(Heartbeat),
    /// Asks for the revision in force if its number is larger.
    FetchRevision(u64),
    /// A revision, sent on request or right after its acceptance.
    Revision(RevisionRecord),
    /// Answers any message that needs no other answer.
    Ack,
}

impl PeerMessage {
    /// Encodes the message without its frame.
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
    /// Fails on bytes that are not a message, on a newer format and on values
    /// that cannot be, such as an address that is none.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let envelope = Envelope::decode(bytes).map_err(|error| malformed(error.to_string()))?;
        if envelope.format > FORMAT {
            let context = format!("format {} is newer than {FORMAT}", envelope.format);
            return Err(WireError::new(WireErrorKind::Version, context));
        }
        match envelope.body.ok_or_else(|| malformed("no body"))? {
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
        crashes: heartbeat.crashes.iter().map(encode_mark).collect(),
        notices: heartbeat.notices.iter().map(encode_notice).collect(),
        peers: heartbeat.peers.iter().map(encode_peer).collect(),
    }
}

fn decode_heartbeat(message: HeartbeatMessage) -> Result<Heartbeat, WireError> {
    let me = message
        .me
        .ok_or_else(|| malformed("heartbeat without sender"))?;
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
            .map(decode_mark)
            .collect::<Result<_, _>>()?,
        notices: message.notices.into_iter().map(decode_notice).collect(),
        peers: message
            .peers
            .into_iter()
            .map(decode_peer)
            .collect::<Result<_, _>>()?,
    })
}

pub(crate) fn encode_peer(view: &PeerView) -> PeerMessageView {
    PeerMessageView {
        vm: view.vm.to_string(),
        incarnation: view.incarnation,
        seq: view.seq,
        addr: encode_addr(view.addr),
        operator_addr: view.operator_addr.map(encode_addr).unwrap_or_default(),
        is_leaving: view.is_leaving,
        revision: view.revision,
    }
}

pub(crate) fn decode_peer(message: PeerMessageView) -> Result<PeerView, WireError> {
    if message.vm.is_empty() {
        return Err(malformed("VM without name"));
    }
    Ok(PeerView {
        vm: message.vm.into(),
        incarnation: message.incarnation,
        seq: message.seq,
        addr: decode_addr(&message.addr)?,
        operator_addr: decode_optional_addr(&message.operator_addr)?,
        is_leaving: message.is_leaving,
        revision: message.revision,
    })
}

/// Writes the octets of the IP address and then the port.
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

pub(crate) fn encode_mark(mark: &CrashRecord) -> MarkMessage {
    MarkMessage {
        fingerprint: mark.fingerprint,
        vm: mark.vm.to_string(),
        count: u32::from(mark.count),
        age_ms: mark.age.as_millis() as u64,
        epoch: u32::from(mark.epoch),
    }
}

pub(crate) fn decode_mark(message: MarkMessage) -> Result<CrashRecord, WireError> {
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
