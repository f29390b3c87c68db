//! What a target registers about itself.

use crate::{DomainName, TargetSpec};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// One run of a target's process.
///
/// A target may restart under the same name. The new process holds no requests
/// and no state of the previous one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// Name under which the target registers.
    pub id: SmolStr,
    /// Unix time of its start in milliseconds.
    pub born_ms: u64,
}

impl Incarnation {
    /// Returns a number that identifies the incarnation in messages between VMs.
    ///
    /// The probability that two incarnations in a fleet share a number is about
    /// 1 in 10^14.
    pub fn get_digest(&self) -> u64 {
        xxh3_64_with_seed(self.id.as_bytes(), self.born_ms)
    }
}

/// A target's entry in the target list of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Target and incarnation that registered the entry.
    pub incarnation: Incarnation,
    /// Service that the target belongs to.
    pub service: SmolStr,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Failure domain that the target runs in.
    pub domain: DomainName,
    /// Requests that the target runs at the same time.
    pub slots: u16,
    /// True if the target announced that it is going to stop.
    pub is_draining: bool,
    /// Remaining warm-up time, in which the target is slower than usual.
    pub cold_left: Duration,
}

impl TargetEntry {
    /// Returns a number that identifies the content of the entry.
    ///
    /// The warm-up time is not part of it, because it differs between two reads
    /// of the same entry.
    pub(crate) fn get_digest(&self) -> u64 {
        let mut hasher = Xxh3::with_seed(self.incarnation.get_digest());
        for text in [&self.service, &self.domain] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(self.addr.to_string().as_bytes());
        hasher.update(&self.slots.to_le_bytes());
        hasher.update(&[u8::from(self.is_draining)]);
        hasher.digest()
    }

    /// Returns the declaration of the target for its service.
    pub(crate) fn make_spec(&self, connections: u16) -> TargetSpec {
        TargetSpec {
            name: self.incarnation.id.clone(),
            addr: self.addr,
            domain: self.domain.clone(),
            slots: Some(self.slots),
            connections,
            weight: 100,
            drain: self.is_draining,
            note: None,
            incarnation: self.incarnation.born_ms,
            warm_up: Some(self.cold_left),
            paused_until: None,
            cold_until: None,
            is_emptied: false,
        }
    }
}
