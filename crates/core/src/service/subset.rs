//! The targets that a VM keeps to.
//!
//! Load: hundreds of targets before dozens of VMs that see a few requests a
//! second each. A VM that spreads its questions over all of them finds its
//! connections closed for idleness, and opens one for every second request.

use super::Service;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

impl Service {
    /// Targets that a VM keeps to. If a third of the machines are slow at a time,
    /// none of eight is fast in 2 of 10,000 cases.
    const SUBSET_SIZE: usize = 8;
    /// Score added for the other targets: one of the subset goes first until
    /// most of its slots are taken.
    const OUTSIDE_SUBSET_PENALTY: f32 = 0.25;

    /// Chooses the targets by the highest hashes of VM and target, those in the
    /// VM's own failure domain first.
    ///
    /// Each target is in the subsets of about as many VMs, a target that comes
    /// or goes changes one place of a subset, and no VM has to know the others.
    pub(super) fn choose_subset(&mut self) {
        let mut order: Vec<(bool, Reverse<u64>, usize)> = self
            .targets
            .iter()
            .enumerate()
            .filter(|(_, target)| target.is_usable())
            .map(|(index, target)| {
                let is_far = target.spec.domain != self.domain;
                let name = target.spec.name.as_bytes();
                let hash = xxh3_64_with_seed(name, self.vm_hash);
                (is_far, Reverse(hash), index)
            })
            .collect();
        order.sort_unstable();
        for (place, (_, _, index)) in order.into_iter().enumerate() {
            self.targets[index].is_in_subset = place < Self::SUBSET_SIZE;
        }
    }

    /// Returns the part of a score that sets the other targets back.
    pub(super) fn get_subset_penalty(&self, is_in_subset: bool) -> f32 {
        if is_in_subset || self.spec.sampling.is_none() {
            0.0
        } else {
            Self::OUTSIDE_SUBSET_PENALTY
        }
    }
}
