//! What a VM says about itself and about its peers.

use super::TargetNotice;
use crate::{CrashRecord, HybridTime, VmName};
use smol_str::SmolStr;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What one VM knows about another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerView {
    /// Name of the VM.
    pub vm: VmName,
    /// Start of the VM's process in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of the newest heartbeat of this incarnation.
    pub seq: u64,
    /// Address at which the VM takes messages of peers.
    pub addr: SocketAddr,
    /// Address of the operators' paths, if the VM serves them.
    pub operator_addr: Option<SocketAddr>,
    /// True if the VM is stopping.
    pub is_leaving: bool,
    /// Revision in force on the VM, 0 if there is none.
    pub revision: u64,
}

impl PeerView {
    /// Returns a number that stands for this start of the VM; two VMs of one
    /// fleet share one by chance of about 1 in 100,000 at 300 VMs.
    pub fn get_digest(&self) -> u32 {
        xxh3_64_with_seed(self.vm.as_bytes(), self.incarnation) as u32
    }
}

/// Word that a VM lives, in a few bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatSummary {
    /// Which start of which VM, see [`PeerView::get_digest`].
    pub peer: u32,
    /// Number of the newest heartbeat that was heard of it.
    pub seq: u64,
}

/// One message of the exchange between VMs.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Name of the fleet; messages of other fleets are dropped.
    pub fleet: SmolStr,
    /// The sender.
    pub me: PeerView,
    /// Order of the message among events.
    pub at: HybridTime,
    /// Crashes under requests, newest first.
    pub crashes: Vec<CrashRecord>,
    /// What targets said about their leaving.
    pub notices: Vec<TargetNotice>,
    /// Other VMs that the sender has heard of.
    pub peers: Vec<PeerView>,
}
