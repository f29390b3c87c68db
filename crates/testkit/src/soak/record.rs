//! What a run saw, from outside of the daemons.

use super::plan::Step;
use crate::Reply;
use parking_lot::Mutex;
use std::time::{Duration, Instant};

/// How a caller's request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    /// An answer came.
    Reply(Reply),
    /// The connection ended without an answer.
    ConnectionClosed,
    /// No answer came for as long as the caller waited.
    TimedOut,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub(super) struct SentRequest {
    pub(super) id: String,
    pub(super) is_once: bool,
    pub(super) vm: usize,
    pub(super) sent: Instant,
    pub(super) ended: Instant,
    pub(super) end: RequestOutcome,
}

/// A look at whether a configuration is in force.
#[derive(Debug, Clone, Copy)]
pub(super) struct VersionCheck {
    pub(super) vm: usize,
    /// Which start of the daemon was asked.
    pub(super) start: u32,
    pub(super) version: u64,
    pub(super) sent: Instant,
    pub(super) ended: Instant,
    pub(super) is_in_force: bool,
}

/// Time in which a VM is not in touch by the run's own doing.
#[derive(Debug, Clone, Copy)]
pub(super) struct Disruption {
    /// The VM, none for all of them.
    pub(super) vm: Option<usize>,
    pub(super) kind: DisruptionKind,
    pub(super) from: Instant,
    /// None as long as it lasts.
    pub(super) until: Option<Instant>,
}

/// What keeps a VM from being in touch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DisruptionKind {
    /// The process is killed, paused or stopped.
    Process,
    /// The process is asked to stop.
    Stopping,
    /// The store cannot be used as usual.
    Store,
}

/// Everything that happened.
#[derive(Debug, Default)]
pub(super) struct Record {
    pub(super) sent: Mutex<Vec<SentRequest>>,
    pub(super) version_checks: Mutex<Vec<VersionCheck>>,
    pub(super) disruptions: Mutex<Vec<Disruption>>,
    /// Versions with the time at which the store had them.
    pub(super) versions: Mutex<Vec<(u64, Instant)>>,
    /// Targets with the time at which the store had their leave.
    pub(super) drains: Mutex<Vec<(usize, Instant)>>,
    pub(super) steps: Mutex<Vec<(Duration, Step)>>,
    /// VMs whose daemon ended without having been asked to.
    pub(super) unexpected_exits: Mutex<Vec<usize>>,
    /// Answers after the end of all faults, good ones and all.
    pub(super) recovered: Mutex<(usize, usize)>,
}

impl Record {
    /// Notes the start of a trouble; returns its place.
    pub(super) fn begin(&self, vm: Option<usize>, kind: DisruptionKind) -> usize {
        let mut disruptions = self.disruptions.lock();
        disruptions.push(Disruption {
            vm,
            kind,
            from: Instant::now(),
            until: None,
        });
        disruptions.len() - 1
    }

    pub(super) fn end(&self, index: usize) {
        self.disruptions.lock()[index].until = Some(Instant::now());
    }

    /// Ends the troubles of a process that has started again.
    pub(super) fn end_process_disruptions(&self, vm: usize) {
        let now = Instant::now();
        for disruption in self.disruptions.lock().iter_mut() {
            if disruption.vm == Some(vm) && disruption.kind != DisruptionKind::Store {
                disruption.until.get_or_insert(now);
            }
        }
    }

    /// Returns true if the VM had a trouble of one of the kinds in the time.
    pub(super) fn had_disruption(
        &self,
        vm: usize,
        kinds: &[DisruptionKind],
        from: Instant,
        to: Instant,
    ) -> bool {
        self.disruptions.lock().iter().any(|disruption| {
            disruption.vm.is_none_or(|found| found == vm)
                && kinds.contains(&disruption.kind)
                && disruption.from <= to
                && disruption.until.is_none_or(|until| until >= from)
        })
    }
}
