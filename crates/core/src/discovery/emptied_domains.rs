//! Newest known set of emptied failure domains.

use super::Evacuations;
use crate::DomainName;
use std::time::Instant;

/// The emptied failure domains as this VM knows them, from its own reads of the store and
/// from peers.
///
/// The set is always complete and moves forward by the version of the store at which it was
/// read, so that messages may arrive in any order and more than once.
/// docs/design/0022-emptied-domains.md has the reasons.
#[derive(Debug, Default)]
pub struct EmptiedDomains {
    current: Evacuations,
    /// Times at which this VM learned that the domains are emptied, in the order of
    /// [`Evacuations::domains`].
    since: Vec<Instant>,
    /// True once a set that is not empty was seen, of any version.
    was_used: bool,
}

impl EmptiedDomains {
    /// Returns the newest set.
    pub fn get(&self) -> &Evacuations {
        &self.current
    }

    /// Applies a set; returns the domains that were emptied or given back by it, `None` if
    /// the set is not newer.
    pub fn apply(&mut self, now: Instant, new: Evacuations) -> Option<Vec<DomainName>> {
        self.was_used |= !new.domains.is_empty();
        if new.version <= self.current.version {
            return None;
        }
        let old = std::mem::replace(&mut self.current, new);
        let new = &self.current;
        let since = new.domains.iter().map(|domain| {
            let known = old.domains.iter().position(|other| other == domain);
            known.map_or(now, |index| self.since[index])
        });
        self.since = since.collect();
        let emptied = new.domains.iter().filter(|domain| !old.contains(domain));
        let given_back = old.domains.iter().filter(|domain| !new.contains(domain));
        Some(emptied.chain(given_back).cloned().collect())
    }

    /// Returns the set for peers, `None` as long as no domain was ever emptied.
    pub fn get_message(&self) -> Option<Evacuations> {
        self.was_used.then(|| self.current.clone())
    }

    /// Returns each emptied domain with the time at which this VM learned of it.
    pub fn get_since(&self) -> impl Iterator<Item = (&DomainName, Instant)> {
        self.current.domains.iter().zip(self.since.iter().copied())
    }
}
