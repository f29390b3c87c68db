//! The probe budget of the fleet when the views of its VMs differ in any way.

use gentianridge_core::{ProbeBudget, VmName, is_probe_owner};
use proptest::prelude::*;
use std::time::{Duration, Instant};

proptest! {
    /// Every VM may have any view of the others and may request a probe at any time.
    #[test]
    fn any_views_within_budget(
        per_second in 1_u16..20,
        max_vms in 1_u16..10,
        requests in prop::collection::vec((0_u16..10, 0_u64..200), 1..500),
    ) {
        let mut budgets: Vec<ProbeBudget> =
            (0..max_vms).map(|_| ProbeBudget::new(per_second, max_vms)).collect();
        let mut now = Instant::now();
        let mut sent: Vec<Instant> = Vec::new();
        for (vm, millis) in requests {
            now += Duration::from_millis(millis);
            if budgets[usize::from(vm % max_vms)].try_consume(now) {
                sent.push(now);
            }
        }
        // Each VM may have one unused probe left at the start of a window.
        let limit = usize::from(per_second) + usize::from(max_vms);
        for start in &sent {
            let window = sent.iter().filter(|at| **at >= *start && **at - *start < Duration::from_secs(1));
            prop_assert!(window.count() <= limit);
        }
        if let (Some(first), Some(last)) = (sent.first(), sent.last()) {
            let span = (*last - *first).as_secs_f64();
            let allowed = f64::from(per_second) * span + f64::from(max_vms);
            prop_assert!(sent.len() as f64 <= allowed + 1.0);
        }
    }

    #[test]
    fn one_owner(vms in prop::collection::btree_set("[a-z]{1,6}", 1..9), target in "[a-z]{1,8}") {
        let live: Vec<VmName> = vms.into_iter().map(VmName::from).collect();
        let owners = live.iter().filter(|vm| is_probe_owner(vm, &live, "s", &target));
        prop_assert_eq!(owners.count(), 1);
    }
}

#[test]
fn owners_stable() {
    let live: Vec<VmName> = (0..5).map(|i| VmName::from(format!("vm{i}"))).collect();
    let rest: Vec<VmName> = live[..4].to_vec();
    let targets: Vec<String> = (0..100).map(|i| format!("t{i}")).collect();
    for target in &targets {
        for vm in &rest {
            if is_probe_owner(vm, &live, "s", target) {
                assert!(
                    is_probe_owner(vm, &rest, "s", target),
                    "only targets of the removed VM change their owner"
                );
            }
        }
    }
}
