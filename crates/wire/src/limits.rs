//! Messages about tokens of limits, in datagrams of their own.

use crate::convert::malformed;
use crate::{WireError, WireErrorKind};
use gentianridge_core::{LimitMessage, TokenAsk, TokenGrant, WorkspaceKey};
use prost::Message;

/// The only format that this process encodes and decodes. It differs from those of
/// other datagrams, which arrive at the same socket.
const FORMAT: u32 = 64;

/// A datagram about tokens of limits.
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

impl LimitDatagram {
    /// Returns true if the bytes are a datagram of this kind.
    pub fn is_kind(bytes: &[u8]) -> bool {
        EncodedFormat::decode(bytes).is_ok_and(|encoded| encoded.format == FORMAT)
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
        }
        encoded.encode_to_vec()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a datagram of this format.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
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
