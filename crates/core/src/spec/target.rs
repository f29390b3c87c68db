//! Targets, which are the backend servers of a service.

use crate::Incarnation;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Name of a failure domain.
pub type DomainName = SmolStr;

/// Reason for a setting, and the operator who made it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// Reason in the operator's words.
    pub reason: SmolStr,
    /// Operator who made the setting.
    pub author: Option<SmolStr>,
}

/// One target of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSpec {
    /// Name, unique within the service.
    pub name: SmolStr,
    /// IP address and port.
    pub addr: SocketAddr,
    /// Failure domain that the target runs in.
    pub domain: DomainName,
    /// Requests that the target runs at the same time, if known.
    pub slots: Option<u16>,
    /// Connections that one VM may hold open to the target.
    pub connections: u16,
    /// Share of the slots to use, in percent.
    pub weight: u8,
    /// True if the target gets no new work.
    pub drain: bool,
    /// Reason for the weight or the drain.
    pub note: Option<Note>,
    /// Number of the incarnation behind the address; a target with another
    /// number holds no requests and no state of the previous one.
    pub incarnation: u64,
    /// Warm-up time in which the target is slower than usual, if it reports one.
    pub warm_up: Option<Duration>,
    /// Time until which this VM sends the target nothing, at its request.
    pub paused_until: Option<Instant>,
    /// Time until which the target is cold by its entry, `None` if it was not cold.
    pub cold_until: Option<Instant>,
    /// True if operators have emptied the target's failure domain.
    pub is_emptied: bool,
}

impl TargetSpec {
    /// Slots assumed for a target whose number of slots is not declared.
    pub const DEFAULT_SLOTS: u16 = 8;

    /// Returns the incarnation of the target that the declaration refers to.
    pub fn get_incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.name.clone(),
            born_ms: self.incarnation,
        }
    }

    /// Returns the declared slots, or the default if none are declared.
    pub fn get_slots(&self) -> u16 {
        self.slots.unwrap_or(Self::DEFAULT_SLOTS)
    }
}
