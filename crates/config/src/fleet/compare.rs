//! Warnings about a new operators' file.

use gentianridge_core::{FleetSpec, ServiceSpec};
use smol_str::SmolStr;

/// Remaining share of a service's slots, in percent, at or below which a reduction is a warning.
const SHRINK_PERCENT: u32 = 50;

/// A reduction of service that an operator has to confirm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Warning {
    /// No target of the service receives new requests.
    DrainsService(SmolStr),
    /// The service loses half of its slots or more.
    ShrinksService {
        /// Name of the service.
        service: SmolStr,
        /// Usable slots before the change.
        before: u32,
        /// Usable slots after the change.
        after: u32,
    },
    /// The service is not in the new file.
    RemovesService(SmolStr),
}

impl std::fmt::Display for Warning {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::DrainsService(service) => {
                write!(
                    f,
                    "service {service}: no target would get work, every call would be refused"
                )
            }
            Self::ShrinksService {
                service,
                before,
                after,
            } => {
                write!(
                    f,
                    "service {service}: usable slots would drop from {before} to {after}"
                )
            }
            Self::RemovesService(service) => {
                write!(
                    f,
                    "service {service}: would be removed and its calls refused"
                )
            }
        }
    }
}

/// Returns a warning for each service that the new file drains, shrinks or removes.
///
/// The daemon accepts a file with warnings only when the operator confirms it.
pub fn compare_fleets(old: Option<&FleetSpec>, new: &FleetSpec) -> Vec<Warning> {
    let mut warnings = Vec::new();
    for service in &new.services {
        let before = old.and_then(|fleet| find_service(fleet, &service.name));
        warnings.extend(compare_service(before, service));
    }
    let removed = old
        .into_iter()
        .flat_map(|fleet| &fleet.services)
        .filter(|service| find_service(new, &service.name).is_none())
        .map(|service| Warning::RemovesService(service.name.clone()));
    warnings.extend(removed);
    warnings
}

fn compare_service(before: Option<&ServiceSpec>, after: &ServiceSpec) -> Option<Warning> {
    let slots = after.count_usable_slots();
    if slots == 0 {
        return Some(Warning::DrainsService(after.name.clone()));
    }
    let before = before?.count_usable_slots();
    let is_shrunk = slots * 100 <= before * SHRINK_PERCENT;
    is_shrunk.then(|| Warning::ShrinksService {
        service: after.name.clone(),
        before,
        after: slots,
    })
}

fn find_service<'a>(fleet: &'a FleetSpec, name: &str) -> Option<&'a ServiceSpec> {
    fleet.services.iter().find(|service| service.name == name)
}
