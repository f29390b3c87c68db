//! One VM's share of the probe budget of a service.

use std::time::Instant;

/// Probes that one VM may send, as its fixed share of the fleet's budget.
///
/// The share is the declared budget divided by the declared maximum number of
/// VMs. The sum over the VMs therefore never exceeds the budget, whatever views
/// the VMs have of each other. A VM accumulates at most one probe, which bounds
/// the number of probes in every window.
#[derive(Debug)]
pub struct ProbeBudget {
    probes_per_second: u16,
    max_vms: u16,
    last_probe: Option<Instant>,
}

impl ProbeBudget {
    /// Creates the share of one VM.
    pub fn new(probes_per_second: u16, max_vms: u16) -> Self {
        Self {
            probes_per_second,
            max_vms: max_vms.max(1),
            last_probe: None,
        }
    }

    /// Changes the declared budget and keeps the time of the last probe.
    pub fn set_declared(&mut self, probes_per_second: u16, max_vms: u16) {
        self.probes_per_second = probes_per_second;
        self.max_vms = max_vms.max(1);
    }

    /// Consumes one probe of the budget if one is available.
    pub fn try_consume(&mut self, now: Instant) -> bool {
        if self.probes_per_second == 0 {
            return false;
        }
        let interval = f64::from(self.max_vms) / f64::from(self.probes_per_second);
        let is_due = self
            .last_probe
            .is_none_or(|last| now.saturating_duration_since(last).as_secs_f64() >= interval);
        if is_due {
            self.last_probe = Some(now);
        }
        is_due
    }
}
