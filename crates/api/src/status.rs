//! Status of one VM.

use gentianridge_core::TargetStatus;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// State of one VM and its view of the fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// Name of the VM.
    pub vm: SmolStr,
    /// Failure domain of the VM.
    pub domain: SmolStr,
    /// True if the VM accepts calls.
    pub is_ready: bool,
    /// True if the VM is stopping.
    pub is_stopping: bool,
    /// True if the platform's table service answers.
    pub is_store_up: bool,
    /// Revision in force, if any.
    pub revision: Option<RevisionStatus>,
    /// Peers in the VM's view.
    pub peers: Vec<PeerStatus>,
    /// Services in the order of the configuration file.
    pub services: Vec<ServiceStatus>,
    /// Quarantined fingerprints.
    pub quarantined: Vec<SmolStr>,
}

/// The revision in force on one VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RevisionStatus {
    /// Number of the revision.
    pub number: u64,
    /// Submission that it came from.
    pub submission: SmolStr,
    /// Operator who submitted it.
    pub author: SmolStr,
    /// Wall-clock time of the submission in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// Wall-clock time since which it is in force on this VM, in milliseconds since
    /// the Unix epoch.
    pub in_force_ms: u64,
}

/// A peer in the view of one VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the peer.
    pub vm: SmolStr,
    /// State of the peer: live, leaving or silent.
    pub state: SmolStr,
    /// Revision in force on the peer, from its last heartbeat.
    pub revision: u64,
    /// Address of the operators' API of the peer.
    pub operator_addr: std::net::SocketAddr,
}

/// A service in the view of one VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub name: SmolStr,
    /// Reason stated in the configuration file.
    pub reason: Option<SmolStr>,
    /// Classes in the order of the configuration file.
    pub classes: Vec<ClassStatus>,
    /// Targets in the order of the configuration file.
    pub targets: Vec<TargetStatus>,
    /// Totals since the start of the daemon.
    pub counters: ServiceCounters,
}

/// A class in the view of one VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClassStatus {
    /// Name of the class.
    pub name: SmolStr,
    /// Kind of the class.
    pub kind: SmolStr,
    /// Deadline in milliseconds.
    pub deadline_ms: u64,
    /// Slots kept free of background work.
    pub reserve: u16,
    /// Calls in the queue now.
    pub waiting: usize,
    /// Maximum length of the queue in calls.
    pub queue: u16,
}

/// Totals of one service on one VM.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct ServiceCounters {
    /// Calls that arrived.
    pub arrivals: u64,
    /// Answers forwarded to callers.
    pub delivered: u64,
    /// Refused calls that certainly did not run.
    pub refused_not_run: u64,
    /// Refused calls that may have run.
    pub refused_unknown: u64,
    /// Retries.
    pub retries: u64,
    /// Hedges: second attempts started while a slow first attempt runs.
    pub hedges: u64,
    /// Probes sent.
    pub probes: u64,
    /// Attempts that a target shed.
    pub sheds: u64,
    /// Ejections of targets.
    pub ejections: u64,
}
