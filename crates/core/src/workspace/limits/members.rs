//! The VMs among which limits are divided.

use super::super::WorkspaceKey;
use super::LimitMember;
use crate::VmName;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The VMs among which limits are divided, and those that hold a workspace's limit.
///
/// A VM that is added counts at once. A VM that is listed no more counts for a long time:
/// it may be cut off and still spend its part.
#[derive(Debug)]
pub(super) struct LimitMembers {
    me: u64,
    /// Other VMs, in the order of digests.
    others: Vec<KnownMember>,
    /// True once this VM may hold parts.
    is_introduced: bool,
    /// Raised by each change of a VM or its address.
    changes: u32,
}

#[derive(Debug, Clone, Copy)]
struct KnownMember {
    member: LimitMember,
    first_listed: Duration,
    last_listed: Duration,
}

/// How the VMs have changed.
#[derive(Debug, Clone, Copy)]
pub(super) struct MemberChange {
    pub(super) has_added: bool,
    pub(super) has_removed: bool,
}

/// The holders of one limit.
#[derive(Debug, Clone, Default)]
pub(super) struct Holders {
    /// Parts of this VM.
    pub(super) own_parts: u16,
    /// Positions of the others, see [`LimitMembers::get`], and their parts.
    pub(super) others: Vec<(u16, u16)>,
}

impl LimitMembers {
    /// Time for which a VM that is listed no more keeps its parts. Partitions and
    /// restarts are shorter.
    pub(super) const RETENTION: Duration = Duration::from_secs(60);
    /// Largest number of other VMs, so that a faulty peer cannot fill the memory.
    const MAX_MEMBERS: usize = 4_096;

    pub(super) fn new(me: &VmName) -> Self {
        Self {
            me: xxh3_64(me.as_bytes()),
            others: Vec::new(),
            is_introduced: false,
            changes: 0,
        }
    }

    /// Sets whether this VM may hold parts.
    pub(super) fn set_introduced(&mut self, is_introduced: bool) {
        self.is_introduced = is_introduced;
    }

    /// Records the listed VMs.
    pub(super) fn list(&mut self, now: Duration, members: &[LimitMember]) -> MemberChange {
        let mut has_added = false;
        for member in members.iter().filter(|member| member.digest != self.me) {
            match self.find(member.digest) {
                Ok(index) => {
                    let is_moved = self.others[index].member.addr != member.addr;
                    self.changes += u32::from(is_moved);
                    self.others[index].member = *member;
                    self.others[index].last_listed = now;
                }
                Err(_) if self.others.len() >= Self::MAX_MEMBERS => {}
                Err(index) => {
                    let known = KnownMember {
                        member: *member,
                        first_listed: now,
                        last_listed: now,
                    };
                    self.others.insert(index, known);
                    has_added = true;
                }
            }
        }
        let before = self.others.len();
        self.others
            .retain(|known| now.saturating_sub(known.last_listed) < Self::RETENTION);
        let has_removed = self.others.len() != before;
        self.changes += u32::from(has_added || has_removed);
        MemberChange {
            has_added,
            has_removed,
        }
    }

    /// Adds a VM that a peer has named; returns true if it was not known.
    pub(super) fn add(&mut self, now: Duration, member: LimitMember) -> bool {
        !self.contains(member.digest) && self.list(now, &[member]).has_added
    }

    /// Records that a VM has sent a message of its own; returns true if it was not known.
    pub(super) fn meet(&mut self, now: Duration, digest: u64, addr: SocketAddr) -> bool {
        let known = self.find(digest).ok();
        let is_near = known.is_some_and(|index| self.others[index].member.is_near);
        let member = LimitMember {
            digest,
            addr,
            is_near,
        };
        self.list(now, &[member]).has_added
    }

    /// Returns true if a VM is this one or another member.
    pub(super) fn contains(&self, digest: u64) -> bool {
        digest == self.me || self.find(digest).is_ok()
    }

    /// Returns the number of VMs, this one included.
    pub(super) fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns a number that is raised by each change of a VM or its address.
    pub(super) fn get_changes(&self) -> u32 {
        self.changes
    }

    /// Returns the digest of this VM.
    pub(super) fn get_me(&self) -> u64 {
        self.me
    }

    /// Returns the other VMs in the order of digests.
    pub(super) fn get_others(&self) -> impl Iterator<Item = &LimitMember> {
        self.others.iter().map(|known| &known.member)
    }

    /// Returns the time for which a VM has been listed, zero if it is not.
    pub(super) fn get_known_for(&self, now: Duration, digest: u64) -> Duration {
        let found = self.find(digest).ok();
        found.map_or(Duration::ZERO, |index| {
            now.saturating_sub(self.others[index].first_listed)
        })
    }

    /// Returns a digest of the VMs, this one included, which is the same on all VMs that
    /// know the same ones.
    pub(super) fn get_set(&self) -> u64 {
        let digests = self.others.iter().map(|known| known.member.digest);
        digests.fold(self.me, u64::wrapping_add)
    }

    /// Returns the VM at a position that [`Holders`] names.
    pub(super) fn get(&self, position: u16) -> &LimitMember {
        &self.others[usize::from(position)].member
    }

    /// Returns the address of the VM at a position, `None` if there is none.
    pub(super) fn get_addr(&self, position: u16) -> Option<SocketAddr> {
        let known = self.others.get(usize::from(position));
        known.map(|known| known.member.addr)
    }

    /// Returns a key that places VMs of the own failure domain first, and the others of
    /// each kind in an order of this VM.
    pub(super) fn get_order(&self, position: u16) -> (bool, u64) {
        let member = self.get(position);
        let place = xxh3_64_with_seed(&member.digest.to_le_bytes(), self.me);
        (!member.is_near, place)
    }

    /// Returns the VMs that hold the parts of a workspace's limit: for each part, the one
    /// with the highest hash of VM, workspace and part.
    ///
    /// Of two VMs that know each other, at most one takes a part for its own, whoever else
    /// either of them knows. A VM that is not introduced takes none.
    pub(super) fn choose_holders(&self, key: WorkspaceKey, parts: usize) -> Holders {
        let mut holders = Holders::default();
        for part in 0..parts as u64 {
            let seed = key.get_number().wrapping_add(part.wrapping_mul(PART_STEP));
            let score = |digest: u64| xxh3_64_with_seed(&digest.to_le_bytes(), seed);
            let others = self.others.iter().enumerate();
            let others = others.map(|(index, other)| (score(other.member.digest), index));
            match others.max() {
                Some((best, index)) if best > score(self.me) => {
                    holders.add(index as u16);
                }
                Some(_) | None => holders.own_parts += u16::from(self.is_introduced),
            }
        }
        holders
    }

    fn find(&self, digest: u64) -> Result<usize, usize> {
        self.others
            .binary_search_by_key(&digest, |known| known.member.digest)
    }
}

/// Distance between the seeds of two parts; any odd number gives each part its own.
const PART_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

impl Holders {
    fn add(&mut self, position: u16) {
        match self.others.iter_mut().find(|(other, _)| *other == position) {
            Some((_, parts)) => *parts += 1,
            None => self.others.push((position, 1)),
        }
    }
}
