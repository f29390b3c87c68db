//! The whole of one operators' file.

use crate::ServiceSpec;
use smol_str::SmolStr;
use std::time::Duration;

/// Name of a VM of the system.
pub type VmName = SmolStr;

/// Everything that one operators' file declares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSpec {
    /// Most VMs that run at the same time, replacements included.
    ///
    /// Budgets over the whole fleet are divided by this number, so that they
    /// hold whichever VMs each VM believes to be live.
    pub max_vms: u16,
    /// How long a request that crashes targets stays quarantined.
    pub quarantine: Duration,
    /// How long the record of a once-only request is kept.
    pub keep_records: Duration,
    /// Fingerprints of requests that an operator takes out of quarantine.
    pub release: Vec<u64>,
    /// Services in the order in which they are matched.
    pub services: Vec<ServiceSpec>,
}

impl FleetSpec {
    /// Returns the index of the service with the longest prefix that takes the request.
    pub fn find_service(&self, method: &str, path: &str) -> Option<usize> {
        self.services
            .iter()
            .enumerate()
            .filter(|(_, service)| service.route.is_match(method, path))
            .max_by_key(|(index, service)| (service.route.prefix.len(), usize::MAX - index))
            .map(|(index, _)| index)
    }
}
