//! Messages about limits, in datagrams of their own.

use crate::convert::{decode_addr, encode_addr, malformed};
use crate::{WireError, WireErrorKind};
use gentianridge_core::{
    LimitMember, LimitMessage, MemberMessage, MemberReply, TokenAsk, TokenGrant, WorkspaceKey,
};
use prost::Message;
use std::time::Duration;

/// The only formats that this process encodes and decodes: tokens, and members. They differ
/// from those of other datagrams, which arrive at the same socket.
const FORMAT: u32 = 64;
const MEMBERS_FORMAT: u32 = 65;

/// A datagram about limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitDatagram(pub LimitMessage);

#[derive(Clone, PartialEq, prost::Message)]
struct EncodedFormat {
    #[prost(uint32, tag = "1")]
    format: u32,
}

/// Asks, or grants if there are levels.
#[derive(Clone, PartialEq, prost::Message)]
struct EncodedLimits {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(fixed32, tag = "2")]
    nonce: u32,
    #[prost(fixed64, repeated, tag = "3")]
    workspaces: Vec<u64>,
    #[prost(uint32, repeated, tag = "4")]
    tokens: Vec<u32>,
    #[prost(uint32, repeated, tag = "5")]
    levels: Vec<u32>,
}

/// A message about the members of the fleet.
#[derive(Clone, PartialEq, prost::Message)]
struct EncodedMembers {
    #[prost(uint32, tag = "1")]
    format: u32,
    /// 1 for a hello, 2 for its reply, 3 for a request for the list, 4 for a part of it.
    #[prost(uint32, tag = "2")]
    kind: u32,
    #[prost(fixed32, tag = "3")]
    nonce: u32,
    #[prost(fixed64, tag = "4")]
    digest: u64,
    #[prost(bool, tag = "5")]
    is_introduced: bool,
    #[prost(uint64, tag = "6")]
    known_for_s: u64,
    #[prost(uint32, tag = "7")]
    part: u32,
    #[prost(uint32, tag = "8")]
    parts: u32,
    #[prost(fixed64, repeated, tag = "9")]
    members: Vec<u64>,
    #[prost(bytes = "vec", repeated, tag = "10")]
    addrs: Vec<Vec<u8>>,
}

impl LimitDatagram {
    /// Returns true if the bytes are a datagram of this kind.
    pub fn is_kind(bytes: &[u8]) -> bool {
        EncodedFormat::decode(bytes)
            .is_ok_and(|encoded| [FORMAT, MEMBERS_FORMAT].contains(&encoded.format))
    }

    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut encoded = EncodedLimits {
            format: FORMAT,
            ..EncodedLimits::default()
        };
        match &self.0 {
            LimitMessage::Asks(nonce, asks) => {
                encoded.nonce = *nonce;
                for ask in asks {
                    encoded.workspaces.push(ask.workspace.get_number());
                    encoded.tokens.push(ask.tokens);
                }
            }
            LimitMessage::Grants(nonce, grants) => {
                encoded.nonce = *nonce;
                for grant in grants {
                    encoded.workspaces.push(grant.workspace.get_number());
                    encoded.tokens.push(grant.tokens);
                    encoded.levels.push(grant.left_percent);
                }
            }
            LimitMessage::Members(message) => return encode_members(message).encode_to_vec(),
        }
        encoded.encode_to_vec()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a datagram of this format.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let format = EncodedFormat::decode(bytes).map(|encoded| encoded.format);
        if format == Ok(MEMBERS_FORMAT) {
            let encoded = EncodedMembers::decode(bytes);
            let encoded = encoded.map_err(|error| malformed(error.to_string()))?;
            return decode_members(&encoded).map(|message| Self(LimitMessage::Members(message)));
        }
        let encoded = EncodedLimits::decode(bytes).map_err(|error| malformed(error.to_string()))?;
        if encoded.format != FORMAT {
            let detail = format!("limit format {} is not supported", encoded.format);
            return Err(WireError::new(WireErrorKind::Version, detail));
        }
        if encoded.tokens.len() != encoded.workspaces.len() {
            return Err(malformed("workspaces and tokens differ in number"));
        }
        if encoded.levels.is_empty() {
            return Ok(Self(decode_asks(&encoded)));
        }
        if encoded.levels.len() != encoded.workspaces.len() {
            return Err(malformed("workspaces and levels differ in number"));
        }
        Ok(Self(decode_grants(&encoded)))
    }
}

fn encode_members(message: &MemberMessage) -> EncodedMembers {
    let base = EncodedMembers {
        format: MEMBERS_FORMAT,
        ..EncodedMembers::default()
    };
    match message {
        MemberMessage::Hello(nonce, digest) => EncodedMembers {
            kind: 1,
            nonce: *nonce,
            digest: *digest,
            ..base
        },
        MemberMessage::Known(nonce, reply) => EncodedMembers {
            kind: 2,
            nonce: *nonce,
            digest: reply.set,
            is_introduced: reply.is_introduced,
            known_for_s: reply.known_for.as_secs(),
            ..base
        },
        MemberMessage::List(nonce) => EncodedMembers {
            kind: 3,
            nonce: *nonce,
            ..base
        },
        MemberMessage::Members(nonce, part, parts, members) => EncodedMembers {
            kind: 4,
            nonce: *nonce,
            part: u32::from(*part),
            parts: u32::from(*parts),
            members: members.iter().map(|member| member.digest).collect(),
            addrs: members.iter().map(|m| encode_addr(m.addr)).collect(),
            ..base
        },
    }
}

fn decode_members(encoded: &EncodedMembers) -> Result<MemberMessage, WireError> {
    let nonce = encoded.nonce;
    match encoded.kind {
        1 => Ok(MemberMessage::Hello(nonce, encoded.digest)),
        2 => Ok(MemberMessage::Known(
            nonce,
            MemberReply {
                is_introduced: encoded.is_introduced,
                known_for: Duration::from_secs(encoded.known_for_s),
                set: encoded.digest,
            },
        )),
        3 => Ok(MemberMessage::List(nonce)),
        4 => {
            if encoded.members.len() != encoded.addrs.len() {
                return Err(malformed("members and addresses differ in number"));
            }
            let number = |number| {
                u16::try_from(number).map_err(|_| malformed("part of a list out of range"))
            };
            let members = encoded.members.iter().zip(&encoded.addrs);
            let members = members.map(|(&digest, addr)| {
                let addr = decode_addr(addr)?;
                Ok(LimitMember {
                    digest,
                    addr,
                    is_near: false,
                })
            });
            let members = members.collect::<Result<_, WireError>>()?;
            let (part, parts) = (number(encoded.part)?, number(encoded.parts)?);
            Ok(MemberMessage::Members(nonce, part, parts, members))
        }
        kind => Err(malformed(format!("kind {kind} of message about members"))),
    }
}

fn decode_asks(encoded: &EncodedLimits) -> LimitMessage {
    let asks = encoded.workspaces.iter().zip(&encoded.tokens);
    let asks = asks.map(|(&number, &tokens)| TokenAsk {
        workspace: WorkspaceKey::from_number(number),
        tokens,
    });
    LimitMessage::Asks(encoded.nonce, asks.collect())
}

fn decode_grants(encoded: &EncodedLimits) -> LimitMessage {
    let grants = encoded.workspaces.iter().zip(&encoded.tokens);
    let grants = grants.zip(&encoded.levels);
    let grants = grants.map(|((&number, &tokens), &left_percent)| TokenGrant {
        workspace: WorkspaceKey::from_number(number),
        tokens,
        left_percent,
    });
    LimitMessage::Grants(encoded.nonce, grants.collect())
}
