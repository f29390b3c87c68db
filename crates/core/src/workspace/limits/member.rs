//! VMs that may hold parts of limits.

use crate::VmName;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// A VM of the fleet that may hold parts of limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitMember {
    /// Digest of the name, by which all VMs place it in the same order.
    pub digest: u64,
    /// Address for messages of peers.
    pub addr: SocketAddr,
    /// True if it is in the failure domain of this VM.
    pub is_near: bool,
}

impl LimitMember {
    /// Creates the entry of a VM.
    pub fn new(vm: &VmName, addr: SocketAddr, is_near: bool) -> Self {
        Self {
            digest: xxh3_64(vm.as_bytes()),
            addr,
            is_near,
        }
    }
}
