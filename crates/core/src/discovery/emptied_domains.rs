//! Newest known set of emptied failure domains.

use super::Evacuations;
use crate::{DomainName, StoreVersion};
use std::time::{Duration, Instant};

/// The emptied failure domains as this VM knows them, from its own reads of the store and
/// from peers.
///
/// The set is always complete and moves forward by the version of the store at which it was
/// read, so that messages may arrive in any order and more than once.
///
/// After the store's return from a copy, the set of the new era may lack what operators have
/// written, or hold what they have removed. Domains in which it differs from the set before
/// are held as they were, until they change in the new era or until everything has been
/// written again. docs/design/0022-emptied-domains.md has the reasons.
#[derive(Debug, Default)]
pub struct EmptiedDomains {
    /// Newest set in the store.
    listed: Evacuations,
    /// Domains that are emptied, in their order.
    emptied: Vec<DomainName>,
    /// Times at which this VM learned that they are, in the same order.
    since: Vec<Instant>,
    /// Domains that are held.
    held: Vec<HeldDomain>,
    /// True if a set of an earlier era than that of `listed` was known.
    has_earlier_era: bool,
    /// True once a set that is not empty was seen, of any version.
    was_used: bool,
}

/// A domain that is held as it was before the store's return.
#[derive(Debug, Clone)]
struct HeldDomain {
    domain: DomainName,
    is_emptied: bool,
    until: Instant,
}

impl EmptiedDomains {
    /// Time in which what has been written again is read and reaches every VM. A domain that
    /// was given back is not held for so long, since an order of the new era may empty it.
    const SPREAD_TIME: Duration = Duration::from_secs(2);

    /// Returns the domains that are emptied, in their order.
    pub fn get(&self) -> &[DomainName] {
        &self.emptied
    }

    /// Returns the newest set in the store.
    pub fn get_listed(&self) -> &Evacuations {
        &self.listed
    }

    /// Returns the version of the store at which the set was read.
    pub fn get_version(&self) -> StoreVersion {
        self.listed.version
    }

    /// Returns true if the failure domain is emptied.
    pub fn contains(&self, domain: &str) -> bool {
        let found = self
            .emptied
            .binary_search_by(|other| other.as_str().cmp(domain));
        found.is_ok()
    }

    /// Returns the domains that are held as emptied ones although the store does not list
    /// them.
    pub fn get_held(&self) -> Vec<DomainName> {
        let held = self.held.iter().filter(|held| held.is_emptied);
        held.map(|held| held.domain.clone()).collect()
    }

    /// Applies a set; returns the domains that were emptied or given back by it, `None` if
    /// the set is not newer.
    ///
    /// `restored` is when everything has been written again, if the era of the set began with
    /// a return of the store.
    pub fn apply(
        &mut self,
        now: Instant,
        new: Evacuations,
        restored: Option<Instant>,
    ) -> Option<Vec<DomainName>> {
        self.was_used |= !new.domains.is_empty() || !new.held.is_empty();
        self.drop_ended(now);
        if new.version <= self.listed.version {
            return self.adopt_held(now, &new, restored);
        }
        let is_first = self.listed.version == StoreVersion::default();
        if new.version.era == self.listed.version.era {
            // What changes within an era was written in it.
            let listed = &self.listed;
            self.held
                .retain(|held| listed.contains(&held.domain) == new.contains(&held.domain));
        } else if !is_first {
            self.has_earlier_era = true;
            self.held = self.find_differences(&new, restored);
        } else {
            self.hold(&new, restored);
        }
        self.listed = new;
        self.drop_ended(now);
        Some(self.update(now))
    }

    /// Ends holds whose time has passed; returns the domains that change.
    pub fn expire(&mut self, now: Instant) -> Vec<DomainName> {
        self.drop_ended(now);
        self.update(now)
    }

    /// Returns the time at which [`Self::expire`] is to be called next.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.held.iter().map(|held| held.until).min()
    }

    /// Returns the set for peers, `None` as long as no domain was ever emptied.
    pub fn get_message(&self) -> Option<Evacuations> {
        self.was_used.then(|| Evacuations {
            held: self.get_held(),
            ..self.listed.clone()
        })
    }

    /// Returns each emptied domain with the time at which this VM learned of it.
    pub fn get_since(&self) -> impl Iterator<Item = (&DomainName, Instant)> {
        self.emptied.iter().zip(self.since.iter().copied())
    }

    /// Adopts what a peer holds, if this VM knows nothing from before the return.
    fn adopt_held(
        &mut self,
        now: Instant,
        message: &Evacuations,
        restored: Option<Instant>,
    ) -> Option<Vec<DomainName>> {
        let is_unknown = !self.has_earlier_era && self.held.is_empty();
        if message.version != self.listed.version || !is_unknown || message.held.is_empty() {
            return None;
        }
        self.hold(message, restored);
        self.drop_ended(now);
        Some(self.update(now))
    }

    fn hold(&mut self, message: &Evacuations, restored: Option<Instant>) {
        let Some(restored) = restored else {
            return;
        };
        let domains = message.held.iter();
        self.held = domains
            .map(|domain| HeldDomain::new(domain, true, restored))
            .collect();
    }

    fn find_differences(&self, new: &Evacuations, restored: Option<Instant>) -> Vec<HeldDomain> {
        let Some(restored) = restored else {
            return Vec::new();
        };
        let lost = self.emptied.iter().filter(|domain| !new.contains(domain));
        let back = new.domains.iter().filter(|domain| !self.contains(domain));
        lost.map(|domain| HeldDomain::new(domain, true, restored))
            .chain(back.map(|domain| HeldDomain::new(domain, false, restored)))
            .collect()
    }

    fn drop_ended(&mut self, now: Instant) {
        self.held.retain(|held| now < held.until);
    }

    /// Computes the emptied domains anew; returns those that change.
    fn update(&mut self, now: Instant) -> Vec<DomainName> {
        let is_held = |domain: &DomainName| self.held.iter().any(|held| held.domain == *domain);
        let listed = self.listed.domains.iter();
        let mut emptied: Vec<DomainName> =
            listed.filter(|domain| !is_held(domain)).cloned().collect();
        emptied.extend(self.get_held());
        emptied.sort();
        emptied.dedup();
        let old = std::mem::replace(&mut self.emptied, emptied);
        let since = self.emptied.iter().map(|domain| {
            let known = old.iter().position(|other| other == domain);
            known.map_or(now, |index| self.since[index])
        });
        self.since = since.collect();
        let new = &self.emptied;
        let added = new.iter().filter(|domain| !old.contains(domain));
        let given_back = old.iter().filter(|domain| !new.contains(domain));
        added.chain(given_back).cloned().collect()
    }
}

impl HeldDomain {
    fn new(domain: &DomainName, is_emptied: bool, restored: Instant) -> Self {
        let spread = match is_emptied {
            true => EmptiedDomains::SPREAD_TIME,
            false => Duration::ZERO,
        };
        Self {
            domain: domain.clone(),
            is_emptied,
            until: restored + spread,
        }
    }
}
