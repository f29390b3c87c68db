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
pub struct Refresh {
    period: Duration,
    version: Option<u64>,
    due: Option<Instant>,
}

/// What a VM makes of a reading that a peer tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relayed {
    /// The changes continue what is known and are to be taken in.
    Applied,
    /// Nothing new; the list is at least as new here.
    Known,
    /// Changes between what is known and the reading are missing.
    Gap,
}

impl Refresh {
    /// Part of the bound after which the first timers end, and the part over
    /// which they spread. What is left of the bound covers the reading, the
    /// word to the peers and a request on its way.
    const FIRST: f64 = 0.45;
    const SPREAD: f64 = 0.25;

    /// Creates the timer for a bound on the age of the list.
    pub fn new(bound: Duration) -> Self {
        Self {
            period: bound,
            version: None,
            due: None,
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
    pub fn note_read(&mut self, now: Instant, version: u64, draw: f64) {
        self.version = Some(version);
        self.restart(now, draw);
    }

    /// Judges a reading of a peer that covers the changes after `base`.
    pub fn judge(&mut self, now: Instant, base: u64, version: u64, draw: f64) -> Relayed {
        let Some(known) = self.version else {
            return Relayed::Gap;
        };
        if base > known {
            self.due = None;
            return Relayed::Gap;
        }
        if version < known {
            // A late word says nothing about the age of what is known here.
            return Relayed::Known;
        }
        self.restart(now, draw);
        if version == known {
            return Relayed::Known;
        }
        self.version = Some(version);
        Relayed::Applied
    }

    /// Ends the timer, for a reading that has failed in part.
    pub fn hurry(&mut self) {
        self.due = None;
    }

    fn restart(&mut self, now: Instant, draw: f64) {
        let part = Self::FIRST + Self::SPREAD * draw;
        self.due = Some(now + self.period.mul_f64(part));
    }
}
