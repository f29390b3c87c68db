//! The values of the settings.

use gentianridge_core::{DomainName, VmName};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// Form of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One readable line each.
    Text,
    /// One JSON object each.
    Json,
}

/// Settings of one daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the VM, unique in the fleet.
    pub vm: VmName,
    /// Name of the fleet; messages of other fleets are dropped.
    pub fleet: SmolStr,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators and the platform's balancer.
    pub operators: SocketAddr,
    /// Address for messages of peers.
    pub peers: SocketAddr,
    /// Addresses of peers to try when the platform's list cannot be read.
    pub seeds: Vec<SocketAddr>,
    /// Secret that operators send as a bearer token.
    pub operator_token: SmolStr,
    /// Address of the platform, or none for an in-memory store.
    pub platform: Option<SocketAddr>,
    /// Longest time for one operation of the platform's store.
    pub store_timeout: Duration,
    /// Time between two looks for a new revision, before jitter.
    pub store_poll: Duration,
    /// Largest request body.
    pub max_body: usize,
    /// Largest request body that is kept for a repeat.
    pub max_replay: usize,
    /// Longest time without a byte from a caller.
    pub caller_idle: Duration,
    /// Time between not being ready and refusing connections at a stop.
    pub stop_notice: Duration,
    /// Longest time for requests in flight at a stop.
    pub stop_grace: Duration,
    /// Lowest level of log lines: error, warn, info, debug or trace.
    pub log_level: SmolStr,
    /// Form of the log lines.
    pub log_format: LogFormat,
}

impl Settings {
    /// Creates settings for a daemon on given addresses with defaults for the rest.
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

    /// Sets the addresses of peers to try first.
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the operators' token.
    pub fn operator_token(mut self, token: &str) -> Self {
        self.operator_token = token.into();
        self
    }

    /// Sets how a stop proceeds.
    pub fn stop(mut self, notice: Duration, grace: Duration) -> Self {
        self.stop_notice = notice;
        self.stop_grace = grace;
        self
    }
}
