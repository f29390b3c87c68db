//! Messages by which a process that has started becomes known to its fleet.

use super::LimitMember;
use std::time::Duration;

/// A message between two VMs about the members of their fleet. A reply repeats the number of
/// the process that asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberMessage {
    /// Request of a process to count its VM, which has this digest, as a member.
    Hello(u32, u64),
    /// Reply to a hello: the sender counts the VM from now on.
    Known(u32, MemberReply),
    /// Request for the members that the receiver counts.
    List(u32),
    /// Part of the members that the sender counts: its index, the number of parts, and the
    /// members.
    Members(u32, u16, u16, Vec<LimitMember>),
}

/// What a VM knows about the members, for a process that has started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberReply {
    /// True if the sender may hold parts of limits.
    pub is_introduced: bool,
    /// Time for which the sender has counted the VM, in whole seconds.
    pub known_for: Duration,
    /// Digest of the members that the sender counts, itself included.
    pub set: u64,
}

impl MemberMessage {
    /// Members in one message, which then fits into a datagram.
    pub const MAX_MEMBERS: usize = 40;
    /// Parts of a list, beyond which members are left out.
    pub const MAX_PARTS: usize = 64;
}
