//! Failure domains that operators have emptied.

use crate::DomainName;

/// The failure domains whose targets get nothing, as the store holds them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Version of the store at which the domains were read, 0 if they never were.
    pub version: u64,
    /// Names in their order.
    pub domains: Vec<DomainName>,
}

impl Evacuations {
    /// Returns true if the failure domain is emptied.
    pub fn contains(&self, domain: &str) -> bool {
        self.domains
            .binary_search_by(|other| other.as_str().cmp(domain))
            .is_ok()
    }
}
