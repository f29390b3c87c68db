//! What a run saw, from outside of the daemons.

use super::plan::Step;
use crate::Reply;
use parking_lot::Mutex;
use std::time::{Duration, Instant};

/// How a caller's request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum End {
    /// An answer came.
    Reply(Reply),
    /// The connection ended without an answer.
    Cut,
    /// No answer came for as long as the caller waited.
    Waited,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub(super) struct Sent {
    pub(super) id: String,
    pub(super) is_once: bool,
    pub(super) vm: usize,
    pub(super) sent: Instant,
    pub(super) ended: Instant,
    pub(super) end: End,
}

/// A look at whether a configuration is in force.
#[derive(Debug, Clone, Copy)]
pub(super) struct Look {
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
pub(super) struct Trouble {
    /// The VM, none for all of them.
    pub(super) vm: Option<usize>,
    pub(super) kind: TroubleKind,
    pub(super) from: Instant,
    /// None as long as it lasts.
    pub(super) until: Option<Instant>,
}

/// What keeps a VM from being in touch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TroubleKind {
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
    pub(super) sent: Mutex<Vec<Sent>>,
    pub(super) looks: Mutex<Vec<Look>>,
    pub(super) troubles: Mutex<Vec<Trouble>>,
    /// Versions with the time at which the store had them.
    pub(super) versions: Mutex<Vec<(u64, Instant)>>,
    /// Targets with the time at which the store had their leave.
    pub(super) drains: Mutex<Vec<(usize, Instant)>>,
    pub(super) steps: Mutex<Vec<(Duration, Step)>>,
    /// VMs whose daemon ended without having been asked to.
    pub(super) own_ends: Mutex<Vec<usize>>,
    /// Answers after the end of all faults, good ones and all.
    pub(super) recovered: Mutex<(usize, usize)>,
}

impl Record {
    /// Notes the start of a trouble; returns its place.
    pub(super) fn begin(&self, vm: Option<usize>, kind: TroubleKind) -> usize {
        let mut troubles = self.troubles.lock();
        troubles.push(Trouble {
            vm,
            kind,
            from: Instant::now(),
            until: None,
        });
        troubles.len() - 1
    }

    pub(super) fn end(&self, index: usize) {
        self.troubles.lock()[index].until = Some(Instant::now());
    }

    /// Ends the troubles of a process that has started again.
    pub(super) fn end_process_troubles(&self, vm: usize) {
        let now = Instant::now();
        for trouble in self.troubles.lock().iter_mut() {
            if trouble.vm == Some(vm) && trouble.kind != TroubleKind::Store {
                trouble.until.get_or_insert(now);
            }
        }
    }

    /// Returns true if the VM had a trouble of one of the kinds in the time.
    pub(super) fn had_trouble(
        &self,
        vm: usize,
        kinds: &[TroubleKind],
        from: Instant,
        to: Instant,
    ) -> bool {
        self.troubles.lock().iter().any(|trouble| {
            trouble.vm.is_none_or(|found| found == vm)
                && kinds.contains(&trouble.kind)
                && trouble.from <= to
                && trouble.until.is_none_or(|until| until >= from)
        })
    }
}
