//! What a target registers about itself.

use crate::{DomainName, TargetSpec};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One start of a target.
///
/// A target may start again under the name that it had; it then holds and
/// knows nothing of before.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// Name under which the target registers.
    pub id: SmolStr,
    /// Unix time of its start in milliseconds.
    pub born_ms: u64,
}

impl Incarnation {
    /// Returns a number that stands for the start in messages between VMs;
    /// two starts of a fleet's targets share one by chance of about 1 in 10^14.
    pub fn get_digest(&self) -> u64 {
        xxh3_64_with_seed(self.id.as_bytes(), self.born_ms)
    }
}

/// A target's entry in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Which start of which target it is.
    pub incarnation: Incarnation,
    /// Service that the target belongs to.
    pub service: SmolStr,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Failure domain that the target runs in.
    pub domain: DomainName,
    /// Requests that it runs at the same time.
    pub slots: u16,
    /// True if it announced that it is going to stop.
    pub is_draining: bool,
    /// Time for which it stays slow after its start.
    pub cold_left: Duration,
}

impl TargetEntry {
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
        }
    }
}
