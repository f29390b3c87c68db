//! Failure domains that operators have emptied.

use crate::{DomainName, StoreVersion};

/// The failure domains whose targets get nothing, as the store holds them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Version of the store at which the domains were read, the default if they never were.
    pub version: StoreVersion,
    /// Names in their order.
    pub domains: Vec<DomainName>,
    /// In a message of a peer: further domains that the peer holds as emptied, because they
    /// were before the store's return from a copy.
    pub held: Vec<DomainName>,
}

impl Evacuations {
    /// Creates a set from domains in any order.
    pub fn new(version: StoreVersion, mut domains: Vec<DomainName>) -> Self {
        domains.sort();
        domains.dedup();
        Self {
            version,
            domains,
            held: Vec::new(),
        }
    }

    /// Returns the set after changes, in their order, that a read of the store returned;
    /// true marks a domain as emptied.
    pub fn after(&self, version: StoreVersion, changes: &[(DomainName, bool)]) -> Self {
        let mut domains = self.domains.clone();
        for (domain, is_emptied) in changes {
            domains.retain(|other| other != domain);
            if *is_emptied {
                domains.push(domain.clone());
            }
        }
        Self::new(version, domains)
    }

    /// Returns true if the store lists the failure domain as emptied.
    pub fn contains(&self, domain: &str) -> bool {
        self.domains
            .binary_search_by(|other| other.as_str().cmp(domain))
            .is_ok()
    }
}
