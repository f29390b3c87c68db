//! Contents of one operators' file.

use crate::ServiceSpec;
use smol_str::SmolStr;
use std::time::Duration;

/// Name of a VM of the system.
pub type VmName = SmolStr;

/// All declarations of one operators' file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSpec {
    /// Maximum number of VMs that run at the same time, replacements included.
    ///
    /// Budgets for the entire fleet are divided by this number, so that they
    /// hold even if the VMs differ in their views of which VMs are live.
    pub max_vms: u16,
    /// How long a request that crashes targets stays quarantined.
    pub quarantine: Duration,
    /// How long the record of a once-only request is kept.
    pub keep_records: Duration,
    /// Fingerprints of requests that an operator releases from quarantine.
    pub release: Vec<u64>,
    /// Services in the order in which they are matched.
    pub services: Vec<ServiceSpec>,
}

impl FleetSpec {
    /// Returns the index of the service that matches the request with the longest prefix.
    pub fn find_service(&self, method: &str, path: &str) -> Option<usize> {
        self.services
            .iter()
            .enumerate()
            .filter(|(_, service)| service.route.is_match(method, path))
            .max_by_key(|(index, service)| (service.route.prefix.len(), usize::MAX - index))
            .map(|(index, _)| index)
    }
}
