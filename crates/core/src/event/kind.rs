//! Events that are reported to operators.

use crate::{HybridTime, VmName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A change of state with its VM and its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Time, which orders the events of all VMs.
    pub at: HybridTime,
    /// VM on which the event happened.
    pub vm: VmName,
    /// What happened.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// A change of state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum EventKind {
    /// The daemon started.
    VmStarted,
    /// The daemon is stopping and takes no new calls.
    VmStopping,
    /// A peer is live.
    PeerLive {
        /// Peer that is live.
        peer: VmName,
    },
    /// No heartbeat of a peer was received within the silence limit.
    PeerSilent {
        /// Peer that is silent.
        peer: VmName,
    },
    /// A peer is stopping, as reported by itself or by the platform.
    PeerLeaving {
        /// Peer that is stopping.
        peer: VmName,
    },
    /// A target gets no work because it failed or was slow.
    TargetEjected {
        /// Service of the target.
        service: SmolStr,
        /// Target that was ejected.
        target: SmolStr,
        /// Reason of the ejection.
        cause: SmolStr,
    },
    /// An ejected target gets work again.
    TargetReturned {
        /// Service of the target.
        service: SmolStr,
        /// Target that returned.
        target: SmolStr,
    },
    /// A target announced that it is going to stop, or that it is back.
    TargetLeaving {
        /// Service of the target.
        service: SmolStr,
        /// Target that made the announcement.
        target: SmolStr,
        /// False if the target is back.
        is_leaving: bool,
    },
    /// A target takes fewer requests than its declared slots.
    TargetLimited {
        /// Service of the target.
        service: SmolStr,
        /// Target that shed work.
        target: SmolStr,
        /// New limit of requests in flight.
        limit: u16,
    },
    /// An attempt ran many times as long as is usual for its class.
    Straggler {
        /// Service of the target.
        service: SmolStr,
        /// Target that ran the attempt.
        target: SmolStr,
        /// Time for which it ran, in milliseconds.
        elapsed_ms: u64,
    },
    /// Connections to a target were replaced because one stopped responding.
    ConnectionsReplaced {
        /// Service of the target.
        service: SmolStr,
        /// Target whose connections were replaced.
        target: SmolStr,
    },
    /// A submitted file was accepted through this VM.
    RevisionAccepted {
        /// Revision that the file became.
        revision: u64,
        /// Submission that it came from.
        submission: SmolStr,
        /// Operator who submitted it.
        author: SmolStr,
    },
    /// A submitted file was rejected by this VM.
    RevisionRejected {
        /// Submission that was rejected.
        submission: SmolStr,
        /// Operator who submitted it.
        author: SmolStr,
        /// First reason for the rejection.
        reason: SmolStr,
    },
    /// A revision is in force on this VM.
    RevisionInForce {
        /// Revision in force.
        revision: u64,
        /// Operator who submitted it.
        author: SmolStr,
        /// Where the VM received it from.
        source: SmolStr,
    },
    /// A request crashed targets and is refused from now on.
    Quarantined {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
    /// A request is no longer quarantined.
    QuarantineLifted {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
    /// The platform's table service stopped answering.
    StoreDown,
    /// The platform's table service answers again.
    StoreUp,
    /// It is unknown whether a once-only request ran.
    OutcomeUnknown {
        /// Request that the caller sent.
        request: SmolStr,
    },
}

impl EventKind {
    /// Returns the service that the event is about.
    pub fn get_service(&self) -> Option<&str> {
        match self {
            Self::TargetEjected { service, .. }
            | Self::TargetReturned { service, .. }
            | Self::TargetLeaving { service, .. }
            | Self::TargetLimited { service, .. }
            | Self::Straggler { service, .. }
            | Self::ConnectionsReplaced { service, .. } => Some(service),
            _ => None,
        }
    }

    /// Returns the target that the event is about.
    pub fn get_target(&self) -> Option<&str> {
        match self {
            Self::TargetEjected { target, .. }
            | Self::TargetReturned { target, .. }
            | Self::TargetLeaving { target, .. }
            | Self::TargetLimited { target, .. }
            | Self::Straggler { target, .. }
            | Self::ConnectionsReplaced { target, .. } => Some(target),
            _ => None,
        }
    }
}

impl std::fmt::Display for EventKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::VmStarted => write!(f, "VM started"),
            Self::VmStopping => write!(f, "VM stopping, no new calls"),
            Self::PeerLive { peer } => write!(f, "peer {peer} is live"),
            Self::PeerSilent { peer } => write!(f, "peer {peer} is silent"),
            Self::PeerLeaving { peer } => write!(f, "peer {peer} is stopping"),
            Self::TargetEjected {
                service,
                target,
                cause,
            } => {
                write!(f, "{service}/{target} ejected: {cause}")
            }
            Self::TargetReturned { service, target } => {
                write!(f, "{service}/{target} returned after trials")
            }
            Self::TargetLeaving {
                service,
                target,
                is_leaving: true,
            } => {
                write!(f, "{service}/{target} is leaving, no new work")
            }
            Self::TargetLeaving {
                service,
                target,
                is_leaving: false,
            } => {
                write!(f, "{service}/{target} is back")
            }
            Self::TargetLimited {
                service,
                target,
                limit,
            } => {
                write!(
                    f,
                    "{service}/{target} limited to {limit} in flight after a shed"
                )
            }
            Self::Straggler {
                service,
                target,
                elapsed_ms,
            } => {
                write!(f, "{service}/{target} straggler ran {elapsed_ms} ms")
            }
            Self::ConnectionsReplaced { service, target } => {
                write!(f, "{service}/{target} connections replaced after silence")
            }
            Self::RevisionAccepted {
                revision,
                submission,
                author,
            } => {
                write!(
                    f,
                    "revision {revision} accepted from {author} (submission {submission})"
                )
            }
            Self::RevisionRejected {
                submission,
                author,
                reason,
            } => {
                write!(f, "submission {submission} of {author} rejected: {reason}")
            }
            Self::RevisionInForce {
                revision,
                author,
                source,
            } => {
                write!(
                    f,
                    "revision {revision} of {author} in force, learned from {source}"
                )
            }
            Self::Quarantined { fingerprint } => write!(
                f,
                "request {fingerprint:016x} quarantined after two crashes"
            ),
            Self::QuarantineLifted { fingerprint } => {
                write!(f, "request {fingerprint:016x} no longer quarantined")
            }
            Self::StoreDown => write!(f, "table service does not answer"),
            Self::StoreUp => write!(f, "table service answers again"),
            Self::OutcomeUnknown { request } => {
                write!(f, "outcome of once-only request {request} is unknown")
            }
        }
    }
}
