//! This VM's share of the fleet's limit on repeats.

use crate::RepeatLimit;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// This VM's share of a fleet's [`RepeatLimit`].
///
/// The limit holds in every window, also in one that begins with a burst of repeats and ends
/// after the traffic has fallen. A repeat is therefore checked against each window that
/// begins with an earlier repeat and contains it. The requests of a window are counted as
/// the limit counts them: those of the window itself as far as it has passed, or those of
/// a window before it, see [`Self::count_funding`].
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
        let extra = f32::from(self.limit.extra) / consumers;
        let ratio = f32::from(self.limit.percent) / 100.0;
        let starts = self.repeats.iter().copied().chain([now]);
        starts.enumerate().all(|(earlier, start)| {
            let repeats = self.repeats.len() - earlier + 1;
            repeats as f32 <= ratio * self.count_funding(now, start) as f32 + extra
        })
    }

    /// Returns the first attempts that count for a window that began at `start`.
    ///
    /// The limit counts the requests of the window, of the one before it or of the one half
    /// a window before it, whichever has most. Of the earlier ones, the VM uses the one whose
    /// middle is next to `now`: if each VM chose its own maximum, the choices would add up
    /// to more than the fleet's.
    fn count_funding(&self, now: Instant, start: Instant) -> usize {
        let window = self.limit.window;
        let passed = now.saturating_duration_since(start);
        let own = self.count_firsts(start, now);
        let earlier = if passed < window / 4 {
            self.count_firsts(subtract(start, window), start)
        } else if passed < window * 3 / 4 {
            let half = window / 2;
            self.count_firsts(subtract(start, half), now.min(start + half))
        } else {
            0
        };
        own.max(earlier)
    }

    fn count_firsts(&self, from: Instant, to: Instant) -> usize {
        let before = self.firsts.partition_point(|at| *at < from);
        let until = self.firsts.partition_point(|at| *at <= to);
        until.saturating_sub(before)
    }

    /// Drops the attempts that no window which contains `now` counts: first attempts count
    /// for windows that begin up to a window later.
    fn prune(&mut self, now: Instant) {
        let window = self.limit.window;
        let age = |at: &Instant| now.saturating_duration_since(*at);
        while self.firsts.front().is_some_and(|at| age(at) > window * 2) {
            self.firsts.pop_front();
        }
        while self.repeats.front().is_some_and(|at| age(at) > window) {
            self.repeats.pop_front();
        }
    }
}

fn subtract(at: Instant, span: Duration) -> Instant {
    at.checked_sub(span).unwrap_or(at)
}
