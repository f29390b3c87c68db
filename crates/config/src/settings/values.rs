//! The values of the settings.

use gentianridge_core::{DomainName, VmName};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// Format of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of plain text per record.
    Text,
    /// One JSON object per record.
    Json,
}

/// Settings of one daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the VM, unique in the fleet.
    pub vm: VmName,
    /// Name of the fleet; messages from other fleets are dropped.
    pub fleet: SmolStr,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators and the platform's balancer.
    pub operators: SocketAddr,
    /// Address for messages from peers.
    pub peers: SocketAddr,
    /// Addresses of peers to contact first; the only ones if the platform's list cannot be read.
    pub seeds: Vec<SocketAddr>,
    /// Secret that operators send as a bearer token.
    pub operator_token: SmolStr,
    /// Address of the platform; without one the store is in memory.
    pub platform: Option<SocketAddr>,
    /// Timeout of one operation of the platform's store.
    pub store_timeout: Duration,
    /// Interval between polls for a new revision, before jitter.
    pub store_poll: Duration,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Maximum size of a request body that is buffered for a retry or hedge, in bytes.
    pub max_replay: usize,
    /// Timeout for a caller that sends no bytes.
    pub caller_idle: Duration,
    /// Largest number of callers' connections; without it, a part of the descriptors of the
    /// process.
    pub max_connections: Option<usize>,
    /// Time from reporting not ready to refusing connections during shutdown.
    pub stop_notice: Duration,
    /// Maximum time that shutdown waits for requests in flight.
    pub stop_grace: Duration,
    /// Lowest level of log lines: error, warn, info, debug or trace.
    pub log_level: SmolStr,
    /// Format of the log lines.
    pub log_format: LogFormat,
}

impl Settings {
    /// Creates settings with the given name and addresses and defaults for the rest.
    pub fn new(vm: &str, callers: SocketAddr, operators: SocketAddr, peers: SocketAddr) -> Self {
        Self {
            vm: vm.into(),
            fleet: "default".into(),
            domain: "default".into(),
            callers,
            operators,
            peers,
            seeds: Vec::new(),
            operator_token: SmolStr::default(),
            platform: None,
            store_timeout: Duration::from_millis(500),
            store_poll: Duration::from_secs(2),
            max_body: 64 << 20,
            max_replay: 64 << 10,
            caller_idle: Duration::from_secs(10),
            max_connections: None,
            stop_notice: Duration::from_secs(5),
            stop_grace: Duration::from_secs(600),
            log_level: "info".into(),
            log_format: LogFormat::Text,
        }
    }

    /// Sets the fleet and the failure domain.
    pub fn location(mut self, fleet: &str, domain: &str) -> Self {
        self.fleet = fleet.into();
        self.domain = domain.into();
        self
    }

    /// Sets the platform's address.
    pub fn platform(mut self, platform: SocketAddr) -> Self {
        self.platform = Some(platform);
        self
    }

    /// Sets the addresses of peers to contact first.
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the operators' token.
    pub fn operator_token(mut self, token: &str) -> Self {
        self.operator_token = token.into();
        self
    }

    /// Sets the notice and grace periods of shutdown.
    pub fn stop(mut self, notice: Duration, grace: Duration) -> Self {
        self.stop_notice = notice;
        self.stop_grace = grace;
        self
    }
}
