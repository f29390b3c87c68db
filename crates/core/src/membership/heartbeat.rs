//! Messages in which a VM describes itself and its peers.

use super::TargetNotice;
use crate::{CrashRecord, DomainName, HybridTime, VmName};
use smol_str::SmolStr;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// State of a VM as it describes itself or as a peer last received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerView {
    /// Name of the VM.
    pub vm: VmName,
    /// Start of the VM's process in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Sequence number of the newest heartbeat of this incarnation.
    pub seq: u64,
    /// Address at which the VM receives messages of peers.
    pub addr: SocketAddr,
    /// Address of the operators' endpoints, if the VM serves them.
    pub operator_addr: Option<SocketAddr>,
    /// True if the VM is stopping.
    pub is_leaving: bool,
    /// Revision in force on the VM, 0 if there is none.
    pub revision: u64,
    /// Failure domain of the VM, empty if it is not known.
    pub domain: DomainName,
}

impl PeerView {
    /// Returns a number that identifies this incarnation of the VM.
    ///
    /// The probability that two VMs of one fleet share a number is about 1 in
    /// 100,000 at 300 VMs.
    pub fn get_digest(&self) -> u32 {
        xxh3_64_with_seed(self.vm.as_bytes(), self.incarnation) as u32
    }
}

/// Sequence number of the newest heartbeat of a VM, in a few bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatSummary {
    /// Digest of the VM and its incarnation, see [`PeerView::get_digest`].
    pub peer: u32,
    /// Sequence number of the newest heartbeat that is known of the VM.
    pub seq: u64,
}

/// One gossip message between VMs.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Name of the fleet; messages of other fleets are dropped.
    pub fleet: SmolStr,
    /// State of the sender.
    pub me: PeerView,
    /// Time of the message, which orders it among the events of all VMs.
    pub at: HybridTime,
    /// Crashes of targets during requests, newest first.
    pub crashes: Vec<CrashRecord>,
    /// Notices of targets that are leaving or are back.
    pub notices: Vec<TargetNotice>,
    /// States of other VMs in the view of the sender.
    pub peers: Vec<PeerView>,
}
