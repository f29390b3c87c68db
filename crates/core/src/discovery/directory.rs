//! The targets in the local state of this VM.

use super::departed::DepartedTargets;
use super::known_target::KnownTarget;
use super::{Incarnation, LeavingTargets, PausedTargets, TargetEntry, TargetListUpdate};
use crate::{DomainName, TargetSpec, add_span};
use smol_str::SmolStr;
use std::time::{Duration, Instant};

/// Targets by their registered name, and whether the list is readable.
///
/// - If an entry is removed while the list is readable, its target has stopped.
/// - If an entry is removed while the store is unavailable, or within
///   [`Self::SETTLE_PERIOD`] of its return, it may have expired because of a
///   missing heartbeat. Its target is kept until the settle period ends, and is
///   used while fewer than half of the service's targets are listed, because
///   the store has then lost heartbeats. If only a few targets are missing,
///   they have more likely stopped while this VM could not read the list.
/// - `is_draining` lasts as long as an incarnation: a stale read does not reset
///   it, a new incarnation does.
/// - If an entry is replaced by one that cannot be decoded, its target may still
///   run and stays in use.
/// - If the store returns from a copy that lacks an entry, the target stays in use for
///   [`Self::SETTLE_PERIOD`].
/// - If the copy lists a target that had left, the target is not used until its entry is
///   written again, or [`Self::DEPARTED_HOLD`] has passed without its removal.
#[derive(Debug, Default)]
pub struct Directory {
    targets: Vec<KnownTarget>,
    leaving: LeavingTargets,
    /// Targets whose entries were removed.
    departed: DepartedTargets,
    paused: PausedTargets,
    is_unreadable: bool,
    settles_at: Option<Instant>,
}

impl Directory {
    /// Time after the store's return within which live targets register again.
    pub const SETTLE_PERIOD: Duration = Duration::from_secs(2);
    /// Time for which a target that had left is not used although the store's copy lists it;
    /// the store removes the entry of one that is silent sooner.
    pub const DEPARTED_HOLD: Duration = Duration::from_secs(10);

    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns true if no target is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the targets of a service, draining ones included and replaced ones
    /// excluded.
    pub fn get_targets(&self, service: &str, connections: u16) -> Vec<TargetSpec> {
        let of_service = || {
            self.targets
                .iter()
                .filter(|known| known.entry.service == service && !known.is_replaced)
                .filter(|known| known.held_until.is_none())
        };
        let listed = of_service().filter(|known| known.is_in_use()).count();
        let uses_expired = listed * 2 < of_service().count();
        of_service()
            .filter(|known| uses_expired || known.is_in_use())
            .map(|known| {
                let mut spec = known.entry.make_spec(connections);
                spec.drain |= self.leaving.contains(&known.entry.incarnation);
                spec.cold_until = known.cold_until;
                spec.paused_until = self.paused.get_end(&known.entry.incarnation);
                spec
            })
            .collect()
    }

    /// Returns a digest of the entries in the store, as far as they can be decoded.
    ///
    /// It does not depend on the order in which this VM received them.
    pub fn get_digest(&self) -> u64 {
        let listed = self.targets.iter().filter_map(|known| known.listed);
        listed.fold(0, u64::wrapping_add)
    }

    /// Returns the digest that the directory will have after an update.
    pub fn predict_digest(&self, update: &TargetListUpdate) -> u64 {
        let mut predicted = self.get_digest();
        for entry in &update.entries {
            let old = self.get_listed(&entry.incarnation.id).unwrap_or(0);
            predicted = predicted.wrapping_sub(old).wrapping_add(entry.get_digest());
        }
        for id in update.removed.iter().chain(&update.unreadable) {
            predicted = predicted.wrapping_sub(self.get_listed(id).unwrap_or(0));
        }
        predicted
    }

    /// Returns true if the store's entry differs from the one that was last read.
    pub fn is_change(&self, entry: &TargetEntry) -> bool {
        self.get_listed(&entry.incarnation.id) != Some(entry.get_digest())
    }

    /// Returns the names of known targets that have no entry in a full list.
    ///
    /// `unreadable` are the names of the entries that cannot be decoded.
    pub fn find_missing(&self, entries: &[TargetEntry], unreadable: &[SmolStr]) -> Vec<SmolStr> {
        let mut names: Vec<&SmolStr> = entries.iter().map(|e| &e.incarnation.id).collect();
        names.extend(unreadable);
        names.sort_unstable();
        self.targets
            .iter()
            .map(|known| &known.entry.incarnation.id)
            .filter(|id| names.binary_search(id).is_err())
            .cloned()
            .collect()
    }

    /// Returns true if a target with the name is known and its entry has not expired.
    pub fn is_listed(&self, id: &str) -> bool {
        self.find(id)
            .is_ok_and(|index| !self.targets[index].is_expired)
    }

    /// Returns true if the incarnation is known and is not leaving.
    pub fn is_active(&self, incarnation: &Incarnation) -> bool {
        self.find(&incarnation.id).is_ok_and(|index| {
            let known = &self.targets[index];
            known.entry.incarnation == *incarnation
                && !known.entry.is_draining
                && !known.is_replaced
                && known.held_until.is_none()
                && !self.leaving.contains(incarnation)
        })
    }

    /// Records that an incarnation announced its leave; returns false if that is
    /// known.
    pub fn record_leaving(
        &mut self,
        now: Instant,
        digest: u64,
        changed: &mut Vec<SmolStr>,
    ) -> bool {
        let is_new = self.leaving.record(now, digest);
        if is_new {
            let targets = self.targets.iter();
            let affected = targets.filter(|t| t.entry.incarnation.get_digest() == digest);
            changed.extend(affected.map(|known| known.entry.service.clone()));
        }
        is_new
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
        let is_longer = self.paused.record(now, incarnation.get_digest(), pause);
        if is_longer && let Ok(index) = self.find(&incarnation.id) {
            changed.push(self.targets[index].entry.service.clone());
        }
        is_longer
    }

    /// Returns true if the incarnation announced that it is leaving.
    pub fn is_leaving(&self, incarnation: &Incarnation) -> bool {
        self.leaving.contains(incarnation)
    }

    /// Returns the service of an incarnation, if it is known.
    pub fn get_service(&self, incarnation: &Incarnation) -> Option<SmolStr> {
        let index = self.find(&incarnation.id).ok()?;
        let entry = &self.targets[index].entry;
        (entry.incarnation == *incarnation).then(|| entry.service.clone())
    }

    /// Records the warm-up time in an entry that was just applied, read at about `now`.
    ///
    /// Later reads of the same warm-up give a shorter time and change nothing.
    pub fn record_cold(&mut self, now: Instant, entry: &TargetEntry, changed: &mut Vec<SmolStr>) {
        if self.is_cold_again(now, entry)
            && let Ok(index) = self.find(&entry.incarnation.id)
        {
            let known = &mut self.targets[index];
            known.cold_until = Some(add_span(now, entry.cold_left));
            changed.push(known.entry.service.clone());
        }
    }

    /// Returns true if the entry says that a known target has become cold again.
    pub fn is_cold_again(&self, now: Instant, entry: &TargetEntry) -> bool {
        let known = self.find(&entry.incarnation.id).ok();
        known.is_some_and(|index| {
            let known = &self.targets[index];
            known.entry.incarnation == entry.incarnation && known.is_colder(now, entry)
        })
    }

    /// Sets the warm-up times in entries for a peer to what is left of them.
    pub fn update_cold_left(&self, now: Instant, entries: &mut [TargetEntry]) {
        for entry in entries {
            if let Ok(index) = self.find(&entry.incarnation.id) {
                let until = self.targets[index].cold_until;
                entry.cold_left =
                    until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
            }
        }
    }

    /// Returns the failure domain of an incarnation, if it is known.
    pub fn get_domain(&self, incarnation: &Incarnation) -> Option<&DomainName> {
        let index = self.find(&incarnation.id).ok()?;
        let entry = &self.targets[index].entry;
        (entry.incarnation == *incarnation).then_some(&entry.domain)
    }

    /// Adds the services that have targets in one of the failure domains.
    pub fn collect_services(&self, domains: &[DomainName], services: &mut Vec<SmolStr>) {
        let targets = self.targets.iter().map(|known| &known.entry);
        let affected = targets.filter(|entry| domains.contains(&entry.domain));
        services.extend(affected.map(|entry| entry.service.clone()));
    }

    /// Returns the end of the pause that an incarnation requested.
    pub fn get_pause_end(&self, incarnation: &Incarnation) -> Option<Instant> {
        self.paused.get_end(incarnation)
    }

    /// Returns the incarnation with a digest, if it is known.
    pub fn find_incarnation(&self, digest: u64) -> Option<&Incarnation> {
        let mut incarnations = self.targets.iter().map(|known| &known.entry.incarnation);
        incarnations.find(|incarnation| incarnation.get_digest() == digest)
    }

    /// Returns the entries that the store lists, as they were last read.
    pub fn get_listed_entries(&self) -> Vec<TargetEntry> {
        let listed = self.targets.iter().filter(|known| known.listed.is_some());
        listed.map(KnownTarget::get_listed_entry).collect()
    }

    /// Returns the names of the targets in use whose entry cannot be decoded.
    pub fn get_unreadable(&self) -> Vec<SmolStr> {
        let unreadable = |known: &&KnownTarget| known.listed.is_none() && !known.is_expired;
        let targets = self.targets.iter().filter(unreadable);
        targets
            .map(|known| known.entry.incarnation.id.clone())
            .collect()
    }

    /// Returns the rest of the settle period, in which a removed entry may only
    /// have expired.
    pub fn get_settle_left(&self, now: Instant) -> Duration {
        match self.settles_at {
            Some(at) if !self.is_unreadable => at.saturating_duration_since(now),
            _ => Duration::ZERO,
        }
    }

    /// Extends the settle period to the end that a peer reports.
    pub fn extend_settle(&mut self, now: Instant, left: Duration) {
        if !left.is_zero() {
            let end = add_span(now, left);
            self.settles_at = Some(self.settles_at.map_or(end, |at| at.max(end)));
        }
    }

    /// Records that the list cannot be read.
    pub fn set_unreadable(&mut self) {
        self.is_unreadable = true;
    }

    /// Records that the list can be read.
    pub fn set_readable(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_unreadable) {
            self.settles_at = Some(now + Self::SETTLE_PERIOD);
        }
    }

    /// Records that the store's copy lacks the entry of a target, which stays in use up to a
    /// time.
    pub fn record_lost(&mut self, id: &str, until: Instant, changed: &mut Vec<SmolStr>) {
        if let Ok(index) = self.find(id) {
            let known = &mut self.targets[index];
            known.lost_until = known.is_in_use().then_some(until);
            known.set_unlisted();
            changed.push(known.entry.service.clone());
        }
    }

    /// Keeps a target out of use whose entry the store's copy lists although it had left.
    pub fn hold_departed(&mut self, now: Instant, entry: &TargetEntry) {
        if self.departed.contains(&entry.incarnation.id)
            && let Ok(index) = self.find(&entry.incarnation.id)
        {
            self.targets[index].held_until = Some(now + Self::DEPARTED_HOLD);
        }
    }

    /// Records that an entry was written since its target was last removed.
    pub fn record_written(&mut self, entry: &TargetEntry) {
        self.departed.forget(&entry.incarnation.id);
    }

    /// Returns true if the target of an entry is kept out of use because it had left.
    pub fn is_held(&self, entry: &TargetEntry) -> bool {
        let found = self.find(&entry.incarnation.id);
        found.is_ok_and(|index| self.targets[index].held_until.is_some())
    }

    /// Applies a full list and returns the services that changed.
    pub fn apply_full(&mut self, now: Instant, entries: Vec<TargetEntry>) -> Vec<SmolStr> {
        let mut changed = Vec::new();
        for id in self.find_missing(&entries, &[]) {
            self.remove(now, &id, &mut changed);
        }
        for entry in entries {
            self.put(entry, &mut changed);
        }
        changed
    }

    /// Applies one new or changed entry.
    pub fn put(&mut self, entry: TargetEntry, changed: &mut Vec<SmolStr>) {
        let id = &entry.incarnation.id;
        match self.find(id) {
            Ok(index) => self.update(index, entry, changed),
            Err(index) => {
                changed.push(entry.service.clone());
                let known = KnownTarget {
                    listed: Some(entry.get_digest()),
                    older: None,
                    entry,
                    is_expired: false,
                    lost_until: None,
                    held_until: None,
                    is_replaced: false,
                    cold_until: None,
                };
                self.targets.insert(index, known);
            }
        }
    }

    /// Applies the removal of an entry.
    pub fn remove(&mut self, now: Instant, id: &str, changed: &mut Vec<SmolStr>) {
        let Ok(index) = self.find(id) else {
            self.departed.record(now, id);
            return;
        };
        if self.is_settling(now) {
            let known = &mut self.targets[index];
            known.lost_until = None;
            known.set_unlisted();
            changed.push(known.entry.service.clone());
            return;
        }
        let known = self.targets.remove(index);
        self.departed.record(now, id);
        changed.push(known.entry.service);
    }

    /// Applies the replacement of an entry by one that cannot be decoded.
    pub fn set_unreadable_entry(&mut self, id: &str) {
        if let Ok(index) = self.find(id) {
            self.targets[index].listed = None;
            self.targets[index].older = None;
        }
    }

    /// Records that another process answered at a target's address.
    pub fn set_replaced(&mut self, incarnation: &Incarnation, changed: &mut Vec<SmolStr>) {
        let Ok(index) = self.find(&incarnation.id) else {
            return;
        };
        let known = &mut self.targets[index];
        if known.entry.incarnation == *incarnation && !known.is_replaced {
            known.is_replaced = true;
            changed.push(known.entry.service.clone());
        }
    }

    /// Returns the time at which [`Self::expire`] is to be called next.
    pub fn next_expiry(&self) -> Option<Instant> {
        let has_expired = self.targets.iter().any(|known| known.is_expired);
        let settles_at = self
            .settles_at
            .filter(|_| has_expired && !self.is_unreadable);
        let targets = self.targets.iter();
        let ends = targets.flat_map(|known| [known.held_until, known.lost_until]);
        ends.flatten().chain(settles_at).min()
    }

    /// Removes the targets that did not register again within the settle period, and uses
    /// those again that were kept out of use for long enough.
    pub fn expire(&mut self, now: Instant, changed: &mut Vec<SmolStr>) {
        self.leaving.expire(now);
        self.departed.expire(now);
        for known in &mut self.targets {
            for end in [&mut known.held_until, &mut known.lost_until] {
                if end.take_if(|until| *until <= now).is_some() {
                    changed.push(known.entry.service.clone());
                }
            }
        }
        if self.is_settling(now) {
            return;
        }
        let departed = &mut self.departed;
        self.targets.retain(|known| {
            if known.is_expired && known.lost_until.is_none() {
                departed.record(now, &known.entry.incarnation.id);
                changed.push(known.entry.service.clone());
            }
            !known.is_expired || known.lost_until.is_some()
        });
    }

    fn update(&mut self, index: usize, mut entry: TargetEntry, changed: &mut Vec<SmolStr>) {
        let known = &mut self.targets[index];
        known.listed = Some(entry.get_digest());
        known.lost_until = None;
        let was_expired = std::mem::take(&mut known.is_expired);
        let old = &known.entry;
        if entry.incarnation.born_ms < old.incarnation.born_ms {
            if was_expired {
                changed.push(old.service.clone());
            }
            known.older = Some(Box::new(entry));
            return;
        }
        known.older = None;
        known.keep_lasting_state(&mut entry);
        let old = &known.entry;
        let is_same_process = entry.incarnation == old.incarnation && entry.addr == old.addr;
        known.is_replaced &= is_same_process;
        if !is_same_process {
            known.cold_until = None;
        }
        let was_held = known.held_until.take().is_some();
        if was_expired || was_held || entry != *old {
            changed.push(old.service.clone());
            if entry.service != old.service {
                changed.push(entry.service.clone());
            }
            known.entry = entry;
        }
    }

    fn is_settling(&self, now: Instant) -> bool {
        self.is_unreadable || self.settles_at.is_some_and(|at| now < at)
    }

    fn get_listed(&self, id: &str) -> Option<u64> {
        let index = self.find(id).ok()?;
        self.targets[index].listed
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|known| known.entry.incarnation.id.as_str().cmp(id))
    }
}
