//! The probe budget under any disagreement of views.

use gentianridge_core::{ProbeBudget, VmName, is_probe_owner};
use proptest::prelude::*;
use std::time::{Duration, Instant};

proptest! {
    /// Every VM may believe anything about the others and ask at any time.
    #[test]
    fn any_views(
        per_second in 1_u16..20,
        max_vms in 1_u16..10,
        asks in prop::collection::vec((0_u16..10, 0_u64..200), 1..500),
    ) {
        let mut budgets: Vec<ProbeBudget> =
            (0..max_vms).map(|_| ProbeBudget::new(per_second, max_vms)).collect();
        let mut now = Instant::now();
        let mut sent: Vec<Instant> = Vec::new();
        for (vm, millis) in asks {
            now += Duration::from_millis(millis);
            if budgets[usize::from(vm % max_vms)].try_consume(now) {
                sent.push(now);
            }
        }
        // One probe per VM may be saved up when a window opens.
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
fn few_moves() {
    let live: Vec<VmName> = (0..5).map(|i| VmName::from(format!("vm{i}"))).collect();
    let rest: Vec<VmName> = live[..4].to_vec();
    let targets: Vec<String> = (0..100).map(|i| format!("t{i}")).collect();
    for target in &targets {
        for vm in &rest {
            if is_probe_owner(vm, &live, "s", target) {
                assert!(
                    is_probe_owner(vm, &rest, "s", target),
                    "only targets of the VM that is gone move"
                );
            }
        }
    }
}
