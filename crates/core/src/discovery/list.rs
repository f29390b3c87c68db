//! The list of targets of one VM, by its own readings and by those of peers.

use super::{Directory, Incarnation, ListNews, Reading, Refresh, Relayed};
use crate::TargetSpec;
use smol_str::SmolStr;
use std::time::{Duration, Instant};

/// What came of a reading of this VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakenReading {
    /// What the reading says that was not known.
    pub news: ListNews,
    /// True if peers can use it; the first reading follows on nothing.
    pub is_to_tell: bool,
}

/// The targets, and when they have to be read again.
///
/// Readings of this VM and words of peers come in any order, also one during
/// the other. The list never goes back, and what a VM tells follows on what it
/// says it follows on.
#[derive(Debug)]
pub struct TargetList {
    directory: Directory,
    refresh: Refresh,
}

/// Construction and timer.
impl TargetList {
    /// Creates an empty list with a bound on its age.
    pub fn new(bound: Duration) -> Self {
        Self {
            directory: Directory::new(),
            refresh: Refresh::new(bound),
        }
    }

    /// Sets the bound on the age of the list.
    pub fn set_bound(&mut self, bound: Duration) {
        self.refresh.set_bound(bound);
    }

    /// Returns the version of the store up to which the list is known.
    pub fn get_version(&self) -> Option<u64> {
        self.refresh.get_version()
    }

    /// Returns when this VM has to read the list, none if it has to at once.
    pub fn get_due(&self) -> Option<Instant> {
        self.refresh.get_due()
    }

    /// Returns true if changes between what is known and a peer's reading are missing.
    pub fn has_gap(&self) -> bool {
        self.refresh.has_gap()
    }
}

/// Readings.
impl TargetList {
    /// Takes in a reading of this VM; none if a peer's has overtaken it.
    /// `draw` is uniform in [0, 1).
    pub fn take_reading(
        &mut self,
        now: Instant,
        reading: Reading,
        draw: f64,
        changed: &mut Vec<SmolStr>,
    ) -> Option<TakenReading> {
        if self.refresh.is_overtaken(reading.version) {
            return None;
        }
        let directory = &mut self.directory;
        directory.set_readable(now);
        let mut gone = reading.gone;
        if reading.is_whole {
            gone = directory.find_missing(&reading.entries);
        }
        gone.retain(|id| directory.is_listed(id));
        let is_news = |entry: &&super::TargetEntry| directory.is_news(entry);
        let news = ListNews {
            version: reading.version,
            settle_left: directory.get_settle_left(now),
            entries: reading.entries.iter().filter(is_news).cloned().collect(),
            gone,
            ..ListNews::default()
        };
        self.apply(now, &news, changed);
        let base = self.refresh.note_read(now, reading.version, draw);
        Some(TakenReading {
            news: ListNews {
                base: base.unwrap_or_default(),
                ..news
            },
            is_to_tell: base.is_some(),
        })
    }

    /// Takes in a reading that a peer tells.
    pub fn take_news(
        &mut self,
        now: Instant,
        news: &ListNews,
        draw: f64,
        changed: &mut Vec<SmolStr>,
    ) -> Relayed {
        let read_at = now.checked_sub(news.age).unwrap_or(now);
        let judged = self.refresh.judge(read_at, news.base, news.version, draw);
        if matches!(judged, Relayed::Applied | Relayed::Known) {
            self.directory.set_readable(now);
            self.directory.extend_settle(now, news.settle_left);
        }
        if judged == Relayed::Applied {
            self.apply(now, news, changed);
        }
        judged
    }

    /// Notes that the store could not be read.
    pub fn note_failure(&mut self) {
        self.refresh.hurry();
        self.directory.set_away();
    }

    /// Drops the targets that lapsed and did not return in time.
    pub fn expire(&mut self, now: Instant, changed: &mut Vec<SmolStr>) {
        self.directory.expire(now, changed);
    }

    /// Returns when [`Self::expire`] has something to do.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.directory.next_expiry()
    }

    fn apply(&mut self, now: Instant, news: &ListNews, changed: &mut Vec<SmolStr>) {
        for entry in &news.entries {
            self.directory.put(entry.clone(), changed);
        }
        for id in &news.gone {
            self.directory.remove(now, id, changed);
        }
    }
}

/// Targets.
impl TargetList {
    /// Returns true if no target is known.
    pub fn is_empty(&self) -> bool {
        self.directory.is_empty()
    }

    /// Returns the targets of a service, draining ones included.
    pub fn get_targets(&self, service: &str, connections: u16) -> Vec<TargetSpec> {
        self.directory.get_targets(service, connections)
    }

    /// Notes that another process answered at a target's address.
    pub fn set_replaced(&mut self, incarnation: &Incarnation, changed: &mut Vec<SmolStr>) {
        self.directory.set_replaced(incarnation, changed);
    }
}
