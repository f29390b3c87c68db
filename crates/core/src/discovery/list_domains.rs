//! Emptied failure domains and cold targets in the target list.

use super::{EmptiedDomains, Evacuations, Incarnation, TargetEntry, TargetList};
use smol_str::SmolStr;
use std::time::Instant;

/// Emptied failure domains.
impl TargetList {
    /// Applies a set of emptied failure domains that this VM read or a peer sent; returns
    /// true if it changes any domain. See [`EmptiedDomains::apply`].
    pub fn apply_evacuations(
        &mut self,
        now: Instant,
        evacuations: Evacuations,
        restored: Option<Instant>,
        changed: &mut Vec<SmolStr>,
    ) -> bool {
        let Some(domains) = self.emptied.apply(now, evacuations, restored) else {
            return false;
        };
        self.directory.collect_services(&domains, changed);
        !domains.is_empty()
    }

    /// Returns the emptied failure domains in the view of this VM.
    pub fn get_emptied(&self) -> &EmptiedDomains {
        &self.emptied
    }

    /// Returns true if the failure domain of an incarnation is emptied.
    pub fn is_emptied(&self, incarnation: &Incarnation) -> bool {
        let domain = self.directory.get_domain(incarnation);
        domain.is_some_and(|domain| self.emptied.contains(domain))
    }
}

/// Cold targets.
impl TargetList {
    /// Sets whether a service has a rate for cold targets. Only then peers get what is left
    /// of warm-ups, and learn of targets that have become cold again.
    pub fn set_cold_rates(&mut self, has_cold_rates: bool) {
        self.has_cold_rates = has_cold_rates;
    }

    /// Sets the warm-up times in entries for a peer to what is left of them.
    pub fn update_cold_left(&self, now: Instant, entries: &mut [TargetEntry]) {
        if self.has_cold_rates {
            self.directory.update_cold_left(now, entries);
        }
    }
}
