//! Which cold targets this VM sends to.

use super::state::Gateway;
use crate::service::ServiceHandle;
use gentianridge_core::{ColdFleet, ColdPlan, RoutedService};
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

/// View of the fleet for the choice of the owners of cold targets.
#[derive(Debug)]
pub(crate) struct ColdOwners {
    fleet: RefCell<ColdFleet>,
    started_at: Instant,
    has_rates: Cell<bool>,
}

impl ColdOwners {
    /// Time after the start until which this VM owns no cold target: until then it may know
    /// only a part of the fleet.
    const SETTLE_TIME: Duration = Duration::from_secs(3);

    pub(crate) fn new(started_at: Instant) -> Self {
        Self {
            fleet: RefCell::default(),
            started_at,
            has_rates: Cell::new(false),
        }
    }
}

impl Gateway {
    /// Sets how a service shares the rate of its cold targets.
    pub(super) fn apply_cold_rate(&self, handle: &ServiceHandle, declared: Option<&RoutedService>) {
        let rate = declared.and_then(|declared| declared.cold);
        let bound = self.get_settings().cold_bound;
        handle.set_cold_plan(rate.map(|rate| ColdPlan::new(rate, bound)));
    }

    /// Sets whether any service has a rate for cold targets.
    pub(super) fn set_cold_rates(&self, has_rates: bool) {
        self.cold_owners.has_rates.set(has_rates);
        self.list.borrow_mut().set_cold_rates(has_rates);
        self.update_cold_owners();
    }

    /// Chooses the owners of cold targets anew if the known VMs have changed.
    pub(super) fn update_cold_owners(&self) {
        let owners = &self.cold_owners;
        if !owners.has_rates.get() {
            return;
        }
        let known = self.peers.get_staying(self.clock.now());
        let owns_from = owners.started_at + ColdOwners::SETTLE_TIME;
        let owns_from = Some(owns_from).filter(|_| !self.is_stopping());
        let fleet = ColdFleet::new(&self.get_settings().vm, &known, owns_from);
        if *owners.fleet.borrow() == fleet {
            return;
        }
        owners.fleet.replace(fleet);
        self.for_each_service(|service| self.apply_cold_fleet(service));
    }

    /// Sets the fleet among which the owners of a service's cold targets are chosen.
    pub(super) fn apply_cold_fleet(&self, service: &ServiceHandle) {
        service.set_cold_fleet(self.cold_owners.fleet.borrow().clone());
    }
}
