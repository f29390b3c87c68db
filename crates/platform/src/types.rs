//! Values of the platform's interface.

use gentianridge_core::{Version, VmName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What has to hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// No row with the key exists.
    Absent,
    /// The row has this version.
    Matches(Version),
    /// Nothing.
    Always,
}

/// A row as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Contents of the row.
    pub value: Vec<u8>,
    /// Version for a conditional write.
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

/// One VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM.
    pub vm: VmName,
    /// Address at which the VM takes messages of peers.
    pub addr: std::net::SocketAddr,
    /// True if the platform is going to stop the VM.
    pub leaving: bool,
}
