//! The values of the settings.

use crate::LogFormat;
use gentianridge_core::{DomainName, RepeatLimit, RequestBound, VmName};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of one daemon on the platform.
///
/// docs/SETTINGS.md lists the keys. The platform supplies the bounds; a bound
/// that it leaves empty has a conservative default.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Name of the VM, unique in the fleet.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the readiness checks of the platform's balancer.
    pub ready: SocketAddr,
    /// Address for messages from peers.
    pub peers: SocketAddr,
    /// Address for the metrics; without one they are not served.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses for messages of a few VMs of the fleet, which may be down.
    pub seeds: Vec<SocketAddr>,
    /// True if the whole fleet starts for the first time.
    pub is_bootstrap: bool,
    /// Time after which a leaving target must receive no more requests.
    pub drain: Duration,
    /// Time after which a new configuration must be in force.
    pub apply: Duration,
    /// Time from SIGTERM to the end of the process.
    pub grace: Duration,
    /// Limit on repeated attempts of each service, over the fleet.
    pub repeats: RepeatLimit,
    /// Time after which an emptied failure domain must receive no more requests.
    pub evacuate: Duration,
    /// Time after which a withdrawn key must be refused by every VM, also by one that
    /// reaches neither the store nor its peers. `None` if no such bound is in force.
    pub revoke: Option<Duration>,
    /// Window over which the limits of workspaces are counted.
    pub limit_window: Duration,
    /// Tolerance of the limits of workspaces.
    pub limit_bound: RequestBound,
    /// Tolerance of the rate at which cold targets receive requests.
    pub cold_bound: RequestBound,
    /// Maximum load requests per second to each target, over the fleet.
    pub probes_per_target: u16,
    /// Memory of the VM in megabytes; without it, the one that the system reports.
    pub memory_megabytes: Option<u32>,
    /// File descriptors of the process; without it, the limit that the system reports.
    pub descriptors: Option<u32>,
    /// Longest time without a byte of a request body.
    pub body_idle: Duration,
    /// Rate in bytes per second below which a request body counts as stalled.
    pub min_rate: u32,
    /// Longest time for which a caller may read nothing of an answer.
    pub answer_idle: Duration,
    /// Largest number of bodies that are forwarded as they arrive.
    pub max_flows: u16,
    /// Lowest level of log lines: error, warn, info, debug or trace.
    pub log_level: SmolStr,
    /// Format of the log lines.
    pub log_format: LogFormat,
}

impl GatewaySettings {
    /// Default of `drain`; the bounds of platforms are usually a few seconds.
    const DRAIN: Duration = Duration::from_secs(2);
    /// Default of `apply`.
    const APPLY: Duration = Duration::from_secs(2);
    /// Default of `grace`, the shortest usual time between SIGTERM and SIGKILL.
    const GRACE: Duration = Duration::from_secs(5);
    /// Default of `repeats`: extra load that a service can handle even if every request
    /// fails.
    const REPEATS: RepeatLimit = RepeatLimit {
        window: Duration::from_secs(10),
        percent: 10,
        extra: 0,
    };

    /// Default of `body_idle`: several repeats of a lost packet.
    const BODY_IDLE: Duration = Duration::from_secs(5);
    /// Default of `min_rate`: a thousandth of a link of 10 Mbit/s.
    const MIN_RATE: u32 = 1_024;
    /// Default of `answer_idle`: longer than any deadline of a caller.
    const ANSWER_IDLE: Duration = Duration::from_secs(30);
    /// Default of `max_flows`: each one occupies a slot of a target for as long as its caller
    /// takes.
    const MAX_FLOWS: u16 = 4;

    /// Default of `evacuate`.
    const EVACUATE: Duration = Duration::from_secs(5);
    /// Default of `limit_window`.
    const LIMIT_WINDOW: Duration = Duration::from_secs(5);

    /// Returns the listen addresses, which cannot change while the process runs.
    pub fn get_listen_addrs(&self) -> [Option<SocketAddr>; 4] {
        [
            Some(self.callers),
            Some(self.ready),
            Some(self.peers),
            self.metrics,
        ]
    }

    /// Creates settings with the given addresses and defaults for the rest.
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
            seeds: Vec::new(),
            is_bootstrap: false,
            drain: Self::DRAIN,
            apply: Self::APPLY,
            grace: Self::GRACE,
            repeats: Self::REPEATS,
            evacuate: Self::EVACUATE,
            revoke: None,
            limit_window: Self::LIMIT_WINDOW,
            limit_bound: RequestBound::EXACT,
            cold_bound: RequestBound::EXACT,
            probes_per_target: 0,
            memory_megabytes: None,
            descriptors: None,
            body_idle: Self::BODY_IDLE,
            min_rate: Self::MIN_RATE,
            answer_idle: Self::ANSWER_IDLE,
            max_flows: Self::MAX_FLOWS,
            log_level: "info".into(),
            log_format: LogFormat::Text,
        }
    }
}
