//! The timer that decides when a VM reads the target list itself.

use super::ReadTurn;
use crate::StoreVersion;
use std::time::{Duration, Instant};

/// Timer that lets one read of the list serve the entire fleet.
///
/// Every VM has a timer that restarts whenever its list is refreshed. The VM
/// whose timer ends first reads the store and sends an update to the others,
/// which restarts their timers. No VM has to be elected for the work. If the
/// reading VM fails or cannot be reached, the next timer ends shortly after, see
/// [`ReadTurn`]. The number of calls to the store therefore does not grow with
/// the fleet.
#[derive(Debug)]
pub struct RefreshTimer {
    bound: Duration,
    version: Option<StoreVersion>,
    read_at: Option<Instant>,
    due: Option<Instant>,
    /// Newest version of the list that is known to exist.
    newest_known: StoreVersion,
}

/// Result of checking an update from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The changes follow the local state and are to be applied.
    Applied,
    /// The update confirms the local state.
    Unchanged,
    /// The update is not newer than the local state.
    Stale,
    /// Changes between the local state and the update are missing.
    Gap,
    /// The content does not match its digest; nothing was applied.
    Corrupt,
}

impl RefreshTimer {
    /// Fraction of the bound up to which a list is recent enough to send a
    /// request by it. The rest covers the time of the request on its way and the
    /// delay of a datagram that is received late, which its age does not include.
    const MAX_SEND_AGE: f64 = 0.8;
    /// Greatest difference of two times that belong to the same read. An update
    /// reaches VMs over paths that differ by some hops.
    const SAME_READ_TOLERANCE: Duration = Duration::from_millis(50);

    /// Creates the timer for a bound on the age of the list.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            version: None,
            read_at: None,
            due: None,
            newest_known: StoreVersion::default(),
        }
    }

    /// Sets the bound on the age of the list.
    pub fn set_bound(&mut self, bound: Duration) {
        self.bound = bound;
    }

    /// Returns the version of the store that the list reflects.
    pub fn get_version(&self) -> Option<StoreVersion> {
        self.version
    }

    /// Returns when this VM has to read the list, or `None` if a read is due at once.
    pub fn get_due(&self) -> Option<Instant> {
        self.due
    }

    /// Sets this VM's turn, which changes when it discovers other VMs.
    pub fn set_turn(&mut self, turn: ReadTurn) {
        if let Some(read_at) = self.read_at.filter(|_| self.due.is_some()) {
            self.restart(read_at, turn);
        }
    }

    /// Returns the time since the read that the list reflects.
    pub fn get_age(&self, now: Instant) -> Option<Duration> {
        let read_at = self.read_at?;
        Some(now.saturating_duration_since(read_at))
    }

    /// Returns true if a target may have left for longer than the bound by the
    /// time at which a request that is sent now reaches it.
    pub fn is_outdated(&self, now: Instant) -> bool {
        let limit = self.bound.mul_f64(Self::MAX_SEND_AGE);
        self.get_age(now).is_none_or(|age| age > limit)
    }

    /// Records a read of the list up to `version` that this VM sent at `sent_at`.
    ///
    /// Returns the previous version, which is the base of the update to peers.
    /// Changes that peers sent during the read are part of the base.
    pub fn record_read(
        &mut self,
        sent_at: Instant,
        version: StoreVersion,
        turn: ReadTurn,
    ) -> Option<StoreVersion> {
        let read_at = self.read_at.map_or(sent_at, |newest| newest.max(sent_at));
        self.restart(read_at, turn);
        self.version.replace(version)
    }

    /// Returns true if a read up to `version` is older than the local state,
    /// because an update from a peer arrived before the answer of the store.
    pub fn is_overtaken(&self, version: StoreVersion) -> bool {
        self.version.is_some_and(|known| known > version)
    }

    /// Returns true if changes between the local state and a peer's update are missing.
    pub fn has_gap(&self) -> bool {
        self.version.unwrap_or_default() < self.newest_known
    }

    /// Returns true if an update leads from the local version or an older one to
    /// the local version or a newer one.
    pub fn is_applicable(&self, base: StoreVersion, version: StoreVersion) -> bool {
        self.version
            .is_some_and(|known| base <= known && known <= version)
    }

    /// Records that a version of the list exists. If the local state is older and no
    /// update leads to that version, the changes have to be fetched from a peer or read
    /// from the store.
    pub fn record_known_version(&mut self, version: StoreVersion) {
        self.newest_known = self.newest_known.max(version);
    }

    /// Compares an update from a peer with the local state, and records its
    /// version and the time of its read if they are newer.
    ///
    /// The update holds the changes after `base` and was read from the store at
    /// `read_at`. Several VMs may have relayed it.
    pub fn check_update(
        &mut self,
        read_at: Instant,
        base: StoreVersion,
        version: StoreVersion,
        turn: ReadTurn,
    ) -> UpdateOutcome {
        let Some(known) = self.version else {
            return UpdateOutcome::Gap;
        };
        if base > known {
            self.record_known_version(version);
            return UpdateOutcome::Gap;
        }
        let is_newer = self
            .read_at
            .is_none_or(|newest| read_at > newest + Self::SAME_READ_TOLERANCE);
        if version < known || (version == known && !is_newer) {
            // A late update does not show that the local state is recent.
            return UpdateOutcome::Stale;
        }
        if is_newer {
            self.restart(read_at, turn);
        }
        if version == known {
            return UpdateOutcome::Unchanged;
        }
        self.version = Some(version);
        UpdateOutcome::Applied
    }

    /// Makes a read due at once, after a read that failed at least in part.
    pub fn set_overdue(&mut self) {
        self.due = None;
    }

    fn restart(&mut self, read_at: Instant, turn: ReadTurn) {
        self.read_at = Some(read_at);
        self.due = Some(read_at + self.bound.mul_f64(turn.get_fraction()));
    }
}
