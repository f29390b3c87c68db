//! The subset of targets that a VM prefers.
//!
//! A fleet may have hundreds of targets and dozens of VMs with a few requests a
//! second each. If a VM spread its load requests over all targets, connections
//! would be closed as idle, and it would open one for every second request.

use super::Service;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

impl Service {
    /// Targets in a VM's subset. If a third of the machines are slow at a time,
    /// all eight are slow in 2 of 10,000 cases.
    const SUBSET_SIZE: usize = 8;
    /// Score added for targets outside the subset: a target of the subset is
    /// preferred until most of its slots are taken.
    const OUTSIDE_SUBSET_PENALTY: f32 = 0.25;

    /// Chooses the subset by rendezvous hashing of VM and target, with targets in
    /// the VM's own failure domain first.
    ///
    /// Each target is in the subsets of about the same number of VMs, an added or
    /// removed target changes one entry of a subset, and a VM needs no list of the
    /// other VMs.
    pub(super) fn choose_subset(&mut self) {
        let mut order: Vec<(bool, Reverse<u64>, usize)> = self
            .targets
            .iter()
            .enumerate()
            .filter(|(_, target)| target.is_usable())
            .map(|(index, target)| {
                let is_remote = target.spec.domain != self.domain;
                let name = target.spec.name.as_bytes();
                let hash = xxh3_64_with_seed(name, self.vm_hash);
                (is_remote, Reverse(hash), index)
            })
            .collect();
        order.sort_unstable();
        for (position, (_, _, index)) in order.into_iter().enumerate() {
            self.targets[index].is_in_subset = position < Self::SUBSET_SIZE;
        }
    }

    /// Returns the score penalty of a target outside the subset.
    pub(super) fn get_subset_penalty(&self, is_in_subset: bool) -> f32 {
        if is_in_subset || self.spec.sampling.is_none() {
            0.0
        } else {
            Self::OUTSIDE_SUBSET_PENALTY
        }
    }
}
