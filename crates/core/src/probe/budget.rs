//! One VM's part of the probe budget of a service.

use std::time::Instant;

/// Probes that one VM may send, as its fixed part of the fleet's budget.
///
/// The part is the declared budget divided by the declared greatest number of
/// VMs. The sum over the VMs then never exceeds the budget, whatever each VM
/// believes about the others. At most one probe is saved up per VM, which
/// bounds every window.
#[derive(Debug)]
pub struct ProbeBudget {
    probes_per_second: u16,
    max_vms: u16,
    last: Option<Instant>,
}

impl ProbeBudget {
    /// Creates the part of one VM.
    pub fn new(probes_per_second: u16, max_vms: u16) -> Self {
        Self {
            probes_per_second,
            max_vms: max_vms.max(1),
            last: None,
        }
    }

    /// Changes the declared budget and keeps the time of the last probe.
    pub fn set_declared(&mut self, probes_per_second: u16, max_vms: u16) {
        self.probes_per_second = probes_per_second;
        self.max_vms = max_vms.max(1);
    }

    /// Takes one probe out of the budget if one is left.
    pub fn try_consume(&mut self, now: Instant) -> bool {
        if self.probes_per_second == 0 {
            return false;
        }
        let interval = f64::from(self.max_vms) / f64::from(self.probes_per_second);
        let is_due = self
            .last
            .is_none_or(|last| now.saturating_duration_since(last).as_secs_f64() >= interval);
        if is_due {
            self.last = Some(now);
        }
        is_due
    }
}
