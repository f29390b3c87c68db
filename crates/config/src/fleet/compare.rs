//! What a new file would do to the fleet.

use gentianridge_core::{FleetSpec, ServiceSpec};
use smol_str::SmolStr;

/// Share of a service's slots below which a reduction is a warning, in percent.
const SHRINK_PERCENT: u32 = 50;

/// A consequence that an operator has to confirm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Warning {
    /// No target of the service gets new work.
    DrainsService(SmolStr),
    /// The service loses half of its slots or more.
    ShrinksService {
        /// Service that shrinks.
        service: SmolStr,
        /// Slots in use before.
        before: u32,
        /// Slots in use after.
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
                    "service {service}: slots would fall from {before} to {after}"
                )
            }
            Self::RemovesService(service) => {
                write!(f, "service {service}: would be removed, its calls refused")
            }
        }
    }
}

/// Returns what the new file would take away from callers.
///
/// The daemon accepts a file with warnings only when the operator confirms it.
pub fn compare_fleets(old: Option<&FleetSpec>, new: &FleetSpec) -> Vec<Warning> {
    let mut warnings = Vec::new();
    for service in &new.services {
        let before = old.and_then(|fleet| find(fleet, &service.name));
        warnings.extend(compare_service(before, service));
    }
    let removed = old
        .into_iter()
        .flat_map(|fleet| &fleet.services)
        .filter(|service| find(new, &service.name).is_none())
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

fn find<'a>(fleet: &'a FleetSpec, name: &str) -> Option<&'a ServiceSpec> {
    fleet.services.iter().find(|service| service.name == name)
}
