//! The VMs among which limits are divided.

use super::super::WorkspaceKey;
use super::LimitMember;
use crate::VmName;
use std::cmp::Reverse;
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
    /// Other VMs with the last time that they were listed, in the order of digests.
    others: Vec<(LimitMember, Duration)>,
    is_known: bool,
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
    /// True if this VM is one of them.
    pub(super) includes_me: bool,
    /// Positions of the others, see [`LimitMembers::get`].
    pub(super) others: Vec<u16>,
}

impl LimitMembers {
    /// Time for which a VM that is listed no more keeps its parts. Partitions and
    /// restarts are shorter.
    const RETENTION: Duration = Duration::from_secs(60);

    pub(super) fn new(me: &VmName) -> Self {
        Self {
            me: xxh3_64(me.as_bytes()),
            others: Vec::new(),
            is_known: false,
        }
    }

    /// Records that all VMs of the fleet are listed from now on; returns true if they
    /// were not.
    pub(super) fn set_known(&mut self) -> bool {
        !std::mem::replace(&mut self.is_known, true)
    }

    /// Records the listed VMs.
    pub(super) fn list(&mut self, now: Duration, members: &[LimitMember]) -> MemberChange {
        let mut has_added = false;
        for member in members.iter().filter(|member| member.digest != self.me) {
            let found = self
                .others
                .binary_search_by_key(&member.digest, |(other, _)| other.digest);
            match found {
                Ok(index) => self.others[index] = (*member, now),
                Err(index) => {
                    self.others.insert(index, (*member, now));
                    has_added = true;
                }
            }
        }
        let before = self.others.len();
        self.others
            .retain(|(_, listed)| now.saturating_sub(*listed) < Self::RETENTION);
        MemberChange {
            has_added,
            has_removed: self.others.len() != before,
        }
    }

    /// Returns the number of VMs, this one included.
    pub(super) fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns the VM at a position that [`Holders`] names.
    pub(super) fn get(&self, position: u16) -> &LimitMember {
        &self.others[usize::from(position)].0
    }

    /// Returns the address of the VM at a position, `None` if there is none.
    pub(super) fn get_addr(&self, position: u16) -> Option<SocketAddr> {
        let member = self.others.get(usize::from(position));
        member.map(|(member, _)| member.addr)
    }

    /// Returns a key that places VMs of the own failure domain first, and the others of
    /// each kind in an order of this VM.
    pub(super) fn get_order(&self, position: u16) -> (bool, u64) {
        let member = self.get(position);
        let place = xxh3_64_with_seed(&member.digest.to_le_bytes(), self.me);
        (!member.is_near, place)
    }

    /// Returns the VMs with the highest hashes of VM and workspace. A VM that does not
    /// know its fleet holds nothing.
    pub(super) fn choose_holders(&self, key: WorkspaceKey, count: usize) -> Holders {
        let score = |digest: u64| xxh3_64_with_seed(&digest.to_le_bytes(), key.get_number());
        let mut scores: Vec<(u64, Option<u16>)> = self
            .others
            .iter()
            .enumerate()
            .map(|(index, (other, _))| (score(other.digest), Some(index as u16)))
            .collect();
        scores.push((score(self.me), None));
        scores.sort_unstable_by_key(|(score, _)| Reverse(*score));
        scores.truncate(count);
        Holders {
            includes_me: self.is_known && scores.iter().any(|(_, index)| index.is_none()),
            others: scores.iter().filter_map(|(_, index)| *index).collect(),
        }
    }
}
