//! The VM that probes a target.

use crate::VmName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns true if `me` is the VM that probes the target.
///
/// Rendezvous hashing assigns each target to one live VM and moves only the
/// targets of a VM that leaves. While the views of VMs differ, two VMs may probe
/// the same target, and [`crate::ProbeBudget`] still bounds the sum.
pub fn is_probe_owner(me: &VmName, live: &[VmName], service: &str, target: &str) -> bool {
    let own_weight = weight(me, service, target);
    live.iter()
        .filter(|vm| *vm != me)
        .all(|vm| (weight(vm, service, target), vm) < (own_weight, me))
}

fn weight(vm: &VmName, service: &str, target: &str) -> u64 {
    let seed = xxh3_64_with_seed(service.as_bytes(), 1);
    let seed = xxh3_64_with_seed(target.as_bytes(), seed);
    xxh3_64_with_seed(vm.as_bytes(), seed)
}
