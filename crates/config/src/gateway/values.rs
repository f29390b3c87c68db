//! The values of the settings.

use crate::LogFormat;
use gentianridge_core::{DomainName, RepeatLimit, VmName};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of one daemon on the platform.
///
/// docs/SETTINGS.md lists the keys. Every bound is one that the platform
/// states; none has a default, because a wrong guess would break a promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Name of the VM, unique in the fleet.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the balancer asks whether this VM takes connections.
    pub ready: SocketAddr,
    /// Address for messages of peers.
    pub peers: SocketAddr,
    /// Address for the metrics, if they are served.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time between two entries of a target in the store.
    pub heartbeat: Duration,
    /// Time after which a leaving target must get no more work.
    pub drain: Duration,
    /// Time after which a new configuration must be in force.
    pub apply: Duration,
    /// Time from SIGTERM to the end of the process.
    pub grace: Duration,
    /// Limit of repeated sends of each service over the fleet.
    pub repeats: RepeatLimit,
    /// Lowest level of log lines: error, warn, info, debug or trace.
    pub log_level: SmolStr,
    /// Form of the log lines.
    pub log_format: LogFormat,
}
