//! When a VM reads the list of targets itself.

use std::time::{Duration, Instant};

/// One reading of the list for the whole fleet.
///
/// Every VM has a timer that starts anew whenever the list is known afresh.
/// Whose timer ends first reads the store and tells the others, whose timers
/// start anew by that. No VM has to be chosen for the work, and when the reader
/// or the way to it is lost, the next timer ends a moment later. Calls to the
/// store thus do not grow with the fleet.
#[derive(Debug)]
pub struct RefreshTimer {
    period: Duration,
    version: Option<u64>,
    read_at: Option<Instant>,
    due: Option<Instant>,
    has_gap: bool,
}

/// What a VM makes of a reading that a peer tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The changes continue what is known and are to be taken in.
    Applied,
    /// Nothing has changed since what is known.
    Unchanged,
    /// The reading is not newer than what is known.
    Stale,
    /// Changes between what is known and the reading are missing.
    Gap,
}

impl RefreshTimer {
    /// Part of the bound after which the first timers end, and the part over
    /// which they spread. What is left of the bound covers the reading, the
    /// word to the peers and a request on its way.
    const FIRST: f64 = 0.45;
    const SPREAD: f64 = 0.25;
    /// Difference up to which two times mean the same reading: the ways that it
    /// took differ by some steps between VMs.
    const SAME_READING: Duration = Duration::from_millis(50);

    /// Creates the timer for a bound on the age of the list.
    pub fn new(bound: Duration) -> Self {
        Self {
            period: bound,
            version: None,
            read_at: None,
            due: None,
            has_gap: false,
        }
    }

    /// Sets the bound on the age of the list.
    pub fn set_bound(&mut self, bound: Duration) {
        self.period = bound;
    }

    /// Returns the version of the store up to which the list is known.
    pub fn get_version(&self) -> Option<u64> {
        self.version
    }

    /// Returns when this VM has to read the list, none if it has to at once.
    pub fn get_due(&self) -> Option<Instant> {
        self.due
    }

    /// Notes that this VM read the list up to a version; `draw` is uniform in [0, 1).
    ///
    /// Returns the version after which its changes are news, which peers are
    /// told: what they have told meanwhile is left out of that.
    pub fn record_read(&mut self, now: Instant, version: u64, draw: f64) -> Option<u64> {
        self.restart(now, draw);
        self.version.replace(version)
    }

    /// Returns true if a reading up to a version is older than what is known,
    /// since its answer was overtaken by a peer's.
    pub fn is_overtaken(&self, version: u64) -> bool {
        self.version.is_some_and(|known| known > version)
    }

    /// Returns true if changes between what is known and a peer's reading are missing.
    pub fn has_gap(&self) -> bool {
        self.has_gap
    }

    /// Judges a reading of a peer that covers the changes after `base` and was
    /// made at `read_at`; it may have passed through several VMs.
    pub fn check_update(
        &mut self,
        read_at: Instant,
        base: u64,
        version: u64,
        draw: f64,
    ) -> UpdateOutcome {
        let Some(known) = self.version else {
            return UpdateOutcome::Gap;
        };
        if base > known {
            self.due = None;
            self.has_gap = true;
            return UpdateOutcome::Gap;
        }
        let is_newer = self
            .read_at
            .is_none_or(|newest| read_at > newest + Self::SAME_READING);
        if version < known || (version == known && !is_newer) {
            // A late word says nothing about the age of what is known here.
            return UpdateOutcome::Stale;
        }
        if is_newer {
            self.restart(read_at, draw);
        }
        if version == known {
            return UpdateOutcome::Unchanged;
        }
        self.version = Some(version);
        UpdateOutcome::Applied
    }

    /// Ends the timer, for a reading that has failed in part.
    ///
    /// After a failure everything is read, and not only what was missed.
    pub fn set_overdue(&mut self) {
        self.due = None;
        self.has_gap = false;
    }

    fn restart(&mut self, read_at: Instant, draw: f64) {
        let part = Self::FIRST + Self::SPREAD * draw;
        self.has_gap = false;
        self.read_at = Some(read_at);
        self.due = Some(read_at + self.period.mul_f64(part));
    }
}
