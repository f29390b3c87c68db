//! This VM's share of the fleet's limit on repeats.

use crate::RepeatLimit;
use std::collections::VecDeque;
use std::time::Instant;

/// This VM's share of a fleet's [`RepeatLimit`].
///
/// The proportional part needs no coordination: if every VM keeps it for its
/// own requests, the fleet keeps it as well. The constant part is divided by
/// the number of VMs that may have consumed repeats in the window. That is
/// twice the live VMs, because each may have replaced a process that consumed
/// its share just before, and the new process has no record of that.
#[derive(Debug)]
pub(crate) struct FleetBudget {
    limit: RepeatLimit,
    vms: Option<u16>,
    firsts: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl FleetBudget {
    /// VMs that may consume repeats in one window, per live VM.
    const CONSUMERS_PER_VM: f32 = 2.0;
    /// VMs assumed as long as no other VM has been live.
    const ASSUMED_VMS: u16 = 50;

    pub(crate) fn new(limit: RepeatLimit) -> Self {
        Self {
            limit,
            vms: None,
            firsts: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    pub(crate) fn set_limit(&mut self, limit: RepeatLimit) {
        self.limit = limit;
    }

    pub(crate) fn set_vms(&mut self, vms: u16) {
        self.vms = Some(vms.max(1));
    }

    pub(crate) fn count_first(&mut self, now: Instant) {
        self.prune(now);
        self.firsts.push_back(now);
    }

    pub(crate) fn count_repeat(&mut self, now: Instant) {
        self.prune(now);
        self.repeats.push_back(now);
    }

    /// Takes back the newest first attempt, which was not sent.
    pub(crate) fn withdraw_first(&mut self) {
        self.firsts.pop_back();
    }

    /// Takes back the newest repeat, which was not sent.
    pub(crate) fn withdraw_repeat(&mut self) {
        self.repeats.pop_back();
    }

    /// Returns true if one more repeat stays within the limit.
    pub(crate) fn has_budget(&mut self, now: Instant) -> bool {
        self.prune(now);
        let consumers = f32::from(self.vms.unwrap_or(Self::ASSUMED_VMS)) * Self::CONSUMERS_PER_VM;
        let share = f32::from(self.limit.percent) / 100.0 * self.firsts.len() as f32;
        let allowed = share + f32::from(self.limit.extra) / consumers;
        (self.repeats.len() + 1) as f32 <= allowed
    }

    fn prune(&mut self, now: Instant) {
        let window = self.limit.window;
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > window;
        while self.firsts.front().is_some_and(is_old) {
            self.firsts.pop_front();
        }
        while self.repeats.front().is_some_and(is_old) {
            self.repeats.pop_front();
        }
    }
}
