//! The requests of other VMs on a target, by the reports of all targets.

use super::target::Target;

/// Mean of the requests of other VMs, weighted by the squared trust in the reports.
#[derive(Debug, Default)]
pub(super) struct WeightedMean {
    sum: f32,
    weight: f32,
}

impl WeightedMean {
    /// Sum of squared trust below which the reports are not used.
    const MIN_TRUST_SUM: f32 = 0.5;

    pub(super) fn add_target(&mut self, target: &Target) {
        let (mean, trust) = target.get_other_vms_load();
        self.sum += mean * trust * trust;
        self.weight += trust * trust;
    }

    pub(super) fn get(&self) -> f32 {
        if self.weight < Self::MIN_TRUST_SUM {
            0.0
        } else {
            self.sum / self.weight
        }
    }
}
