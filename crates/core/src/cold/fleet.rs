//! The VMs among which the owners of cold targets are chosen.

use crate::VmName;
use std::time::Instant;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Which VMs own a cold target, as this VM knows the fleet.
///
/// Owners are chosen by rendezvous hashing over all VMs that are known, whether or not
/// they answer: VMs on both sides of a cut then agree on the owners, and the part of a VM that
/// is silent stays reserved. The choice changes only when VMs join, or are forgotten.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ColdFleet {
    /// Hash of this VM's name.
    me: u64,
    /// Hashes of the names of the other known VMs.
    others: Vec<u64>,
    /// Time from which this VM may own targets; it does not know the fleet just after its
    /// start. `None` if it owns none.
    owns_from: Option<Instant>,
}

impl ColdFleet {
    /// Creates the fleet from the names of all known VMs but this one.
    pub fn new<'a>(
        me: &VmName,
        others: impl IntoIterator<Item = &'a VmName>,
        owns_from: Option<Instant>,
    ) -> Self {
        let mut others: Vec<u64> = others
            .into_iter()
            .map(|name| xxh3_64(name.as_bytes()))
            .collect();
        others.sort_unstable();
        Self {
            me: xxh3_64(me.as_bytes()),
            others,
            owns_from,
        }
    }

    /// Returns from when on this VM is one of the `owners` of a target, `None` if it is not.
    pub fn get_ownership(&self, target: u64, owners: usize) -> Option<Instant> {
        let own_place = get_place(target, self.me);
        let places = self.others.iter().map(|vm| get_place(target, *vm));
        let ahead = places.filter(|place| *place > own_place).count();
        self.owns_from.filter(|_| ahead < owners)
    }
}

fn get_place(target: u64, vm: u64) -> (u64, u64) {
    (xxh3_64_with_seed(&vm.to_le_bytes(), target), vm)
}
