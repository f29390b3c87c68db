//! Messages by which tokens move between VMs.

use super::super::WorkspaceKey;
use super::MemberMessage;

/// Request for tokens of one workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenAsk {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Largest number of tokens that the asking VM can use.
    pub tokens: u32,
}

/// Tokens of one workspace, which the sender no longer has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenGrant {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Number of tokens, 0 if the sender has none.
    pub tokens: u32,
    /// What the sender has left, in hundredths of a token.
    pub left_percent: u32,
}

/// A message between two VMs about limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitMessage {
    /// Requests for tokens, with a number that the reply repeats.
    Asks(u32, Vec<TokenAsk>),
    /// Reply to the asks with the number.
    Grants(u32, Vec<TokenGrant>),
    /// About the members among which limits are divided.
    Members(MemberMessage),
}

impl LimitMessage {
    /// Bytes of an encoded message without its entries: format, number, and tag and
    /// length of each list.
    const HEAD_BYTES: usize = 11;
    /// Bytes of one ask: the workspace and the tokens.
    const ASK_BYTES: usize = 10;
    /// Bytes of tag and length of the list of levels, which only grants have.
    const LEVELS_BYTES: usize = 2;
    /// Bytes of one grant: as an ask, with the level.
    const GRANT_BYTES: usize = 12;
    /// Bytes of a member: its digest and its address, with tags and lengths.
    const MEMBER_BYTES: usize = 35;

    /// Returns an upper bound on the size of the encoded message, in bytes, for up to ten
    /// entries, each with up to 16,383 tokens and a level of up to 163 tokens.
    pub fn get_max_size(&self) -> usize {
        match self {
            Self::Asks(_, asks) => Self::HEAD_BYTES + Self::ASK_BYTES * asks.len(),
            Self::Grants(_, grants) => {
                Self::HEAD_BYTES + Self::LEVELS_BYTES + Self::GRANT_BYTES * grants.len()
            }
            Self::Members(MemberMessage::Members(_, _, _, members)) => {
                2 * Self::HEAD_BYTES + Self::MEMBER_BYTES * members.len()
            }
            Self::Members(_) => 3 * Self::HEAD_BYTES,
        }
    }
}
