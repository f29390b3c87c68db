//! The values of the settings.

use crate::LogFormat;
use gentianridge_core::{DomainName, RepeatLimit, VmName};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of one daemon on the platform.
///
/// docs/SETTINGS.md lists the keys. The bounds are those that the platform
/// states; for one that it does not state a careful value stands in.
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
    /// Time after which a leaving target must get no more work.
    pub drain: Duration,
    /// Time after which a new configuration must be in force.
    pub apply: Duration,
    /// Time from SIGTERM to the end of the process.
    pub grace: Duration,
    /// Limit of repeated sends of each service over the fleet.
    pub repeats: RepeatLimit,
    /// Questions for a target's load a second and target over the fleet.
    pub probes_per_target: u16,
    /// Lowest level of log lines: error, warn, info, debug or trace.
    pub log_level: SmolStr,
    /// Form of the log lines.
    pub log_format: LogFormat,
}

impl GatewaySettings {
    /// Drain time of a platform that states none; a few seconds are promised.
    const DRAIN: Duration = Duration::from_secs(2);
    /// Time to a configuration in force on a platform that states none.
    const APPLY: Duration = Duration::from_secs(2);
    /// Time between SIGTERM and SIGKILL, the shortest of usual platforms.
    const GRACE: Duration = Duration::from_secs(5);
    /// Share of repeats that a service bears even if every request fails.
    const REPEATS: RepeatLimit = RepeatLimit {
        window: Duration::from_secs(10),
        percent: 10,
        extra: 0,
    };

    /// Returns the addresses to listen on, which hold for the life of a process.
    pub fn get_listen_addrs(&self) -> [Option<SocketAddr>; 4] {
        [
            Some(self.callers),
            Some(self.ready),
            Some(self.peers),
            self.metrics,
        ]
    }

    /// Creates settings for given addresses with defaults for the rest.
    pub fn new(
        vm: &str,
        callers: SocketAddr,
        ready: SocketAddr,
        peers: SocketAddr,
        store: SocketAddr,
    ) -> Self {
        Self {
            vm: vm.into(),
            domain: "".into(),
            callers,
            ready,
            peers,
            metrics: None,
            store,
            drain: Self::DRAIN,
            apply: Self::APPLY,
            grace: Self::GRACE,
            repeats: Self::REPEATS,
            probes_per_target: 0,
            log_level: "info".into(),
            log_format: LogFormat::Text,
        }
    }
}
