//! The observations of a run, made outside of the daemons.

use super::plan::Step;
use crate::Reply;
use parking_lot::Mutex;
use std::time::{Duration, Instant};

/// How a caller's request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    /// An answer arrived.
    Reply(Reply),
    /// The connection ended without an answer.
    ConnectionClosed,
    /// No answer arrived within the time that the caller waited.
    TimedOut,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub(super) struct SentRequest {
    pub(super) id: String,
    /// True if the request must not run twice.
    pub(super) is_once: bool,
    pub(super) vm: usize,
    /// Key that it carried, if the run has keys.
    pub(super) key: Option<&'static str>,
    pub(super) sent_at: Instant,
    pub(super) ended_at: Instant,
    pub(super) outcome: RequestOutcome,
}

/// A check whether a configuration is in force on a VM.
#[derive(Debug, Clone, Copy)]
pub(super) struct VersionCheck {
    pub(super) vm: usize,
    /// Number of the daemon's start that answered.
    pub(super) start: u32,
    pub(super) version: u64,
    pub(super) sent_at: Instant,
    pub(super) ended_at: Instant,
    pub(super) is_in_force: bool,
}

/// A period in which an injected fault affects a VM, so that bounds in time do not
/// apply to it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Disruption {
    /// The affected VM, `None` for all of them.
    pub(super) vm: Option<usize>,
    pub(super) kind: DisruptionKind,
    pub(super) from: Instant,
    /// `None` while the disruption lasts.
    pub(super) until: Option<Instant>,
}

/// Cause of a disruption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DisruptionKind {
    /// The process was killed or paused.
    Process,
    /// The process received SIGTERM.
    Stopping,
    /// The store, or the connection to it, has a fault.
    Store,
}

/// The observations and the injected faults of a run.
#[derive(Debug, Default)]
pub(super) struct Record {
    pub(super) requests: Mutex<Vec<SentRequest>>,
    pub(super) version_checks: Mutex<Vec<VersionCheck>>,
    pub(super) disruptions: Mutex<Vec<Disruption>>,
    /// Configuration versions, each with the time at which the store contained it.
    pub(super) versions: Mutex<Vec<(u64, Instant)>>,
    /// Withdrawn keys, each with the time at which the store contained the withdrawal.
    pub(super) withdrawals: Mutex<Vec<(&'static str, Instant)>>,
    /// Draining targets, each with the time at which the store contained the announcement.
    pub(super) drains: Mutex<Vec<(usize, Instant)>>,
    pub(super) steps: Mutex<Vec<(Duration, Step)>>,
    /// VMs whose daemon exited without a signal of the run.
    pub(super) unexpected_exits: Mutex<Vec<usize>>,
    /// Requests after the end of all faults: how many were answered with 200, and how many
    /// were sent.
    pub(super) recovered: Mutex<(usize, usize)>,
}

impl Record {
    /// Records the start of a disruption; returns its index.
    pub(super) fn begin_disruption(&self, vm: Option<usize>, kind: DisruptionKind) -> usize {
        let mut disruptions = self.disruptions.lock();
        disruptions.push(Disruption {
            vm,
            kind,
            from: Instant::now(),
            until: None,
        });
        disruptions.len() - 1
    }

    /// Ends the disruption with the index.
    pub(super) fn end_disruption(&self, index: usize) {
        self.disruptions.lock()[index].until = Some(Instant::now());
    }

    /// Ends the disruptions of a VM whose process has been restarted, except those of the
    /// store.
    pub(super) fn end_process_disruptions(&self, vm: usize) {
        let now = Instant::now();
        for disruption in self.disruptions.lock().iter_mut() {
            if disruption.vm == Some(vm) && disruption.kind != DisruptionKind::Store {
                disruption.until.get_or_insert(now);
            }
        }
    }

    /// Returns true if a disruption of one of the kinds affected the VM in the period.
    pub(super) fn had_disruption(
        &self,
        vm: usize,
        kinds: &[DisruptionKind],
        from: Instant,
        to: Instant,
    ) -> bool {
        self.disruptions.lock().iter().any(|disruption| {
            disruption.vm.is_none_or(|affected| affected == vm)
                && kinds.contains(&disruption.kind)
                && disruption.from <= to
                && disruption.until.is_none_or(|until| until >= from)
        })
    }
}
