//! The target list of one VM, from its own reads and from peers' updates.

use super::{
    Directory, EmptiedDomains, Incarnation, ReadTurn, RefreshTimer, TargetEntry, TargetListRead,
    TargetListUpdate, UpdateContent, UpdateOutcome,
};
use crate::{StoreVersion, TargetSpec};
use smol_str::SmolStr;
use std::time::{Duration, Instant};

/// Result of applying a read of this VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedRead {
    /// Changes that were not known before the read.
    pub update: TargetListUpdate,
    /// True if peers can apply the update; the first read has no base version.
    pub is_relayable: bool,
}

/// Whether a request may be sent to a target now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendCheck {
    /// The target may receive the request.
    Allowed,
    /// The target has left or is leaving.
    Withdrawn,
    /// The target has requested a pause that has not ended.
    Paused,
    /// Operators have emptied the failure domain of the target.
    Emptied,
    /// The list is so old that the target may have left since.
    Outdated,
}

/// The targets, and when they have to be read again.
///
/// Reads of this VM and updates from peers arrive in any order, and an update
/// can arrive during a read. The list never returns to an older version. An
/// update that this VM sends holds the changes since the base that it states,
/// and the digest of the list that they lead to. A VM applies an update only if
/// its list then has the same digest, so that by induction the list of every VM
/// is what the store held at the list's version.
/// docs/decisions/0018-leaving-targets.md has the reasons.
///
/// The first list of a new era is that of the store's copy. Targets that it lacks stay in
/// use until they had time to register again, and those that left before the store's return
/// are not used because of it.
#[derive(Debug)]
pub struct TargetList {
    pub(super) directory: Directory,
    refresh_timer: RefreshTimer,
    /// True if the list lacks a change that no incremental read is certain to
    /// contain.
    has_diverged: bool,
    pub(super) emptied: EmptiedDomains,
    /// True if a service has a rate for cold targets.
    pub(super) has_cold_rates: bool,
    /// When everything has been written again after the store's last return.
    restored: Option<Instant>,
}

/// Construction and timer.
impl TargetList {
    /// Creates an empty list with a bound on its age.
    pub fn new(bound: Duration) -> Self {
        Self {
            directory: Directory::new(),
            refresh_timer: RefreshTimer::new(bound),
            has_diverged: false,
            emptied: EmptiedDomains::default(),
            has_cold_rates: false,
            restored: None,
        }
    }

    /// Sets the bound on the age of the list.
    pub fn set_bound(&mut self, bound: Duration) {
        self.refresh_timer.set_bound(bound);
    }

    /// Sets when everything has been written again after the store's last return, as far as
    /// that is known.
    pub fn set_restored(&mut self, restored: Option<Instant>) {
        self.restored = restored;
    }

    /// Returns the version of the store that the list reflects.
    pub fn get_version(&self) -> Option<StoreVersion> {
        self.refresh_timer.get_version()
    }

    /// Sets this VM's turn to read the list, which changes when it discovers other VMs.
    pub fn set_turn(&mut self, turn: ReadTurn) {
        self.refresh_timer.set_turn(turn);
    }

    /// Returns when this VM has to read the list, or `None` if a read is due at once.
    pub fn get_due(&self) -> Option<Instant> {
        self.refresh_timer.get_due()
    }

    /// Returns true if changes between the local state and a peer's update are missing.
    pub fn has_gap(&self) -> bool {
        self.has_diverged || self.refresh_timer.has_gap()
    }

    /// Returns true if the next read has to be a full one.
    pub fn needs_full_read(&self) -> bool {
        self.has_diverged || self.get_version().is_none()
    }

    /// Returns the time since the read of the store that the list reflects, which
    /// this VM or a peer made.
    pub fn get_age(&self, now: Instant) -> Option<Duration> {
        self.refresh_timer.get_age(now)
    }

    /// Returns the digest that the list will have after an update.
    pub fn predict_digest(&self, update: &TargetListUpdate) -> u64 {
        self.directory.predict_digest(update)
    }

    /// Returns the digest of the list, see [`Directory::get_digest`].
    pub fn get_digest(&self) -> u64 {
        self.directory.get_digest()
    }
}

/// Reads and updates.
impl TargetList {
    /// Applies a read of this VM, or returns `None` if an update from a peer is newer, or if
    /// changes of a new era have no base.
    ///
    /// `sent_at` is the time at which the read was sent: a change that the store
    /// acknowledged later may be missing from it.
    pub fn apply_read(
        &mut self,
        now: Instant,
        sent_at: Instant,
        read: TargetListRead,
        turn: ReadTurn,
        changed: &mut Vec<SmolStr>,
    ) -> Option<AppliedRead> {
        if self.refresh_timer.is_overtaken(read.version) {
            return None;
        }
        let is_new_era = self.is_new_era(read.version);
        if is_new_era && !read.is_full {
            self.has_diverged = true;
            return None;
        }
        let directory = &mut self.directory;
        directory.set_readable(now);
        let mut removed = read.removed;
        if read.is_full {
            removed = directory.find_missing(&read.entries, &read.unreadable);
            removed.retain(|id| directory.is_listed(id));
            self.has_diverged = false;
        }
        let has_cold_rates = self.has_cold_rates;
        let is_change = |entry: &&TargetEntry| {
            directory.is_change(entry)
                || (has_cold_rates && directory.is_cold_again(now, entry))
                || (!read.is_full && directory.is_held(entry))
        };
        let mut update = TargetListUpdate {
            version: read.version,
            age: now.saturating_duration_since(sent_at),
            settle_left: directory.get_settle_left(now),
            entries: read.entries.iter().filter(is_change).cloned().collect(),
            removed,
            unreadable: read.unreadable,
            ..TargetListUpdate::default()
        };
        self.apply(now, &update, is_new_era, changed);
        update.digest = self.directory.get_digest();
        let base = self.refresh_timer.record_read(sent_at, read.version, turn);
        Some(AppliedRead {
            update: TargetListUpdate {
                base: base.unwrap_or_default(),
                ..update
            },
            is_relayable: base.is_some(),
        })
    }

    /// Applies an update from a peer.
    ///
    /// The update can hold too little for this VM even if it starts at or before
    /// the local version: a target that was registered and removed between two
    /// full reads of the sender is in no update. The digest shows that.
    pub fn apply_update(
        &mut self,
        now: Instant,
        update: &TargetListUpdate,
        turn: ReadTurn,
        changed: &mut Vec<SmolStr>,
    ) -> UpdateOutcome {
        match update.content {
            UpdateContent::Changes => {}
            UpdateContent::Full => return self.apply_full(now, update, turn, changed),
            UpdateContent::Omitted if self.get_version() < Some(update.version) => {
                self.refresh_timer.record_known_version(update.version);
                return UpdateOutcome::Gap;
            }
            // A list of the same version has the same content if its digest is the
            // same, which is checked below.
            UpdateContent::Omitted => {}
        }
        let read_at = now.checked_sub(update.age).unwrap_or(now);
        let timer = &mut self.refresh_timer;
        if timer.is_applicable(update.base, update.version)
            && self.directory.predict_digest(update) != update.digest
        {
            self.has_diverged = true;
            timer.record_known_version(update.version);
            return UpdateOutcome::Gap;
        }
        let is_new_era = self.is_new_era(update.version);
        let timer = &mut self.refresh_timer;
        let outcome = timer.check_update(read_at, update.base, update.version, turn);
        if matches!(outcome, UpdateOutcome::Applied | UpdateOutcome::Unchanged) {
            self.directory.set_readable(now);
            self.directory.extend_settle(now, update.settle_left);
        }
        if outcome == UpdateOutcome::Applied {
            self.apply(now, update, is_new_era, changed);
        }
        outcome
    }

    /// Returns the rest of the settle period, see [`Directory::get_settle_left`].
    pub fn get_settle_left(&self, now: Instant) -> Duration {
        self.directory.get_settle_left(now)
    }

    /// Applies a complete list from a peer.
    ///
    /// A list whose entries do not add up to its digest is refused, and so is one
    /// that is older than the local state.
    fn apply_full(
        &mut self,
        now: Instant,
        update: &TargetListUpdate,
        turn: ReadTurn,
        changed: &mut Vec<SmolStr>,
    ) -> UpdateOutcome {
        if self.refresh_timer.is_overtaken(update.version) {
            return UpdateOutcome::Stale;
        }
        if update.digest != sum_digests(&update.entries) {
            return UpdateOutcome::Corrupt;
        }
        let read_at = now.checked_sub(update.age).unwrap_or(now);
        let directory = &mut self.directory;
        directory.set_readable(now);
        directory.extend_settle(now, update.settle_left);
        let missing = directory.find_missing(&update.entries, &update.unreadable);
        let complete = TargetListUpdate {
            removed: missing,
            ..update.clone()
        };
        let is_new_era = self.is_new_era(update.version);
        self.apply(now, &complete, is_new_era, changed);
        self.has_diverged = false;
        self.refresh_timer
            .record_read(read_at, update.version, turn);
        UpdateOutcome::Applied
    }

    /// Returns the complete list for a peer, `None` as long as there is none.
    pub fn make_full_update(&self, now: Instant) -> Option<TargetListUpdate> {
        let mut entries = self.directory.get_listed_entries();
        debug_assert_eq!(sum_digests(&entries), self.get_digest());
        self.update_cold_left(now, &mut entries);
        Some(TargetListUpdate {
            version: self.get_version()?,
            age: self.get_age(now)?,
            settle_left: self.directory.get_settle_left(now),
            entries,
            unreadable: self.directory.get_unreadable(),
            content: UpdateContent::Full,
            digest: self.get_digest(),
            ..TargetListUpdate::default()
        })
    }

    /// Records that the store could not be read.
    pub fn record_failure(&mut self) {
        self.refresh_timer.set_overdue();
        self.directory.set_unreadable();
    }

    /// Removes the targets that did not register again within the settle period, and ends
    /// holds of emptied domains whose time has passed.
    pub fn expire(&mut self, now: Instant, changed: &mut Vec<SmolStr>) {
        self.directory.expire(now, changed);
        let domains = self.emptied.expire(now);
        self.directory.collect_services(&domains, changed);
    }

    /// Returns the time at which [`Self::expire`] is to be called next.
    pub fn next_expiry(&self) -> Option<Instant> {
        let times = [self.directory.next_expiry(), self.emptied.next_expiry()];
        times.into_iter().flatten().min()
    }

    /// Returns true if a version is of a later era than the list.
    fn is_new_era(&self, version: StoreVersion) -> bool {
        let known = self.get_version();
        known.is_some_and(|known| known.era < version.era)
    }

    fn apply(
        &mut self,
        now: Instant,
        update: &TargetListUpdate,
        is_new_era: bool,
        changed: &mut Vec<SmolStr>,
    ) {
        let settled = now + Directory::SETTLE_PERIOD;
        let lost_until = self.restored.map_or(settled, |at| at.min(settled));
        for entry in &update.entries {
            let was_listed = self.directory.is_listed(&entry.incarnation.id);
            self.directory.put(entry.clone(), changed);
            if !is_new_era {
                self.directory.record_written(entry);
            } else if !was_listed {
                self.directory.hold_departed(now, entry);
            }
            self.directory.record_cold(now, entry, changed);
        }
        for id in &update.removed {
            if is_new_era {
                self.directory.record_lost(id, lost_until, changed);
            } else {
                self.directory.remove(now, id, changed);
            }
        }
        for id in &update.unreadable {
            self.directory.set_unreadable_entry(id);
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
        let mut targets = self.directory.get_targets(service, connections);
        for target in &mut targets {
            target.is_emptied = self.emptied.contains(&target.domain);
        }
        targets
    }

    /// Checks whether a request may be sent to a target now.
    ///
    /// The check belongs directly before the send: the request may have waited
    /// for a connection since the target was chosen.
    pub fn check_send(&self, now: Instant, incarnation: &Incarnation) -> SendCheck {
        if !self.directory.is_active(incarnation) {
            SendCheck::Withdrawn
        } else if self.is_emptied(incarnation) {
            SendCheck::Emptied
        } else if self.is_paused(now, incarnation) {
            SendCheck::Paused
        } else if self.refresh_timer.is_outdated(now) {
            SendCheck::Outdated
        } else {
            SendCheck::Allowed
        }
    }

    /// Records that an incarnation announced its leave; returns false if that is
    /// known.
    pub fn record_leaving(
        &mut self,
        now: Instant,
        digest: u64,
        changed: &mut Vec<SmolStr>,
    ) -> bool {
        self.directory.record_leaving(now, digest, changed)
    }

    /// Records that an incarnation requested a pause;
    /// returns false if that does not prolong a known pause.
    pub fn record_pause_request(
        &mut self,
        now: Instant,
        incarnation: &Incarnation,
        pause: Duration,
        changed: &mut Vec<SmolStr>,
    ) -> bool {
        self.directory
            .record_pause_request(now, incarnation, pause, changed)
    }

    /// Returns true if the incarnation announced that it is leaving.
    pub fn is_leaving(&self, incarnation: &Incarnation) -> bool {
        self.directory.is_leaving(incarnation)
    }

    /// Returns the service of an incarnation, if it is known.
    pub fn get_service(&self, incarnation: &Incarnation) -> Option<SmolStr> {
        self.directory.get_service(incarnation)
    }

    /// Returns true if the incarnation has requested a pause that has not ended.
    pub fn is_paused(&self, now: Instant, incarnation: &Incarnation) -> bool {
        let end = self.directory.get_pause_end(incarnation);
        end.is_some_and(|until| until > now)
    }

    /// Returns the incarnation with a digest, if it is known.
    pub fn find_incarnation(&self, digest: u64) -> Option<&Incarnation> {
        self.directory.find_incarnation(digest)
    }

    /// Records that another process answered at a target's address.
    pub fn set_replaced(&mut self, incarnation: &Incarnation, changed: &mut Vec<SmolStr>) {
        self.directory.set_replaced(incarnation, changed);
    }
}

/// Returns the digest of a list with these entries, see [`Directory::get_digest`].
fn sum_digests(entries: &[TargetEntry]) -> u64 {
    let digests = entries.iter().map(TargetEntry::get_digest);
    digests.fold(0, u64::wrapping_add)
}
