//! Types of the platform's interface.

use gentianridge_core::{Version, VmName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Condition under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// No row with the key exists.
    Absent,
    /// The row has this version.
    Matches(Version),
    /// The write is unconditional.
    Always,
}

/// Result of reading a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Contents of the row.
    pub value: Vec<u8>,
    /// Version of the row, for a conditional write.
    pub version: Version,
}

/// A write of one row.
#[derive(Debug, Clone)]
pub struct RowWrite {
    /// Condition of the write.
    pub condition: Condition,
    /// New contents.
    pub value: Vec<u8>,
    /// Time after which the service may drop the row.
    pub ttl: Option<Duration>,
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM.
    pub vm: VmName,
    /// Address at which the VM receives messages of peers.
    pub addr: std::net::SocketAddr,
    /// True if the platform is about to stop the VM.
    pub leaving: bool,
}
