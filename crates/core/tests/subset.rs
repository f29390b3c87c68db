//! The subset of targets that a VM prefers.

mod common;

use common::{Harness, SAMPLE_FRESH_MS, SHORT, make_sampled_spec};
use gentianridge_core::VmName;

const TARGETS: usize = 80;
const VMS: usize = 40;

/// A service in which every second target is in the VM's own domain.
fn make_harness(vm: usize) -> Harness {
    let mut spec = make_sampled_spec(TARGETS);
    for (index, target) in spec.targets.iter_mut().enumerate() {
        target.domain = if index % 2 == 0 { "near" } else { "far" }.into();
    }
    let mut harness = Harness::with_spec(spec);
    let name: VmName = format!("vm-{vm}").into();
    harness.service.set_location(&name, "near".into());
    harness
}

/// Runs requests one after the other; targets report `percent` as their relative work time.
fn run_requests(harness: &mut Harness, requests: usize, percent: impl Fn(usize) -> u16) {
    for _ in 0..requests {
        let call = harness.arrive_within(SHORT, 4_000);
        for _ in 0..50 {
            if harness.is_sent(call) {
                break;
            }
            for target in std::mem::take(&mut harness.sampled) {
                harness.report_work_percent(target, percent(target.get_index()));
            }
            harness.advance(10);
        }
        let sent = harness.get_last_attempt(call);
        harness.advance(190);
        harness.answer(sent);
        harness.advance(SAMPLE_FRESH_MS + 1);
    }
}

fn get_used_targets(harness: &Harness) -> Vec<usize> {
    let mut used: Vec<usize> = harness.sent.iter().map(|s| s.target.get_index()).collect();
    used.sort_unstable();
    used.dedup();
    used
}

/// In a large fleet with many targets, a VM uses a few targets of its own domain, so that
/// their connections are reused before they are closed.
#[test]
fn few_near_targets() {
    let mut harness = make_harness(0);
    run_requests(&mut harness, 60, |_| 100);
    let used = get_used_targets(&harness);
    assert!(used.len() <= 8, "{used:?}");
    assert!(used.iter().all(|target| target % 2 == 0), "{used:?}");
}

/// All VMs together use every target of the domain, and none much more than the others.
#[test]
fn even_over_vms() {
    let mut vms_of = [0; TARGETS];
    for vm in 0..VMS {
        let mut harness = make_harness(vm);
        run_requests(&mut harness, 60, |_| 100);
        for target in get_used_targets(&harness) {
            vms_of[target] += 1;
        }
    }
    // 40 VMs that use 8 of the 40 near targets each make 8 VMs per target.
    let near: Vec<usize> = vms_of.iter().copied().step_by(2).collect();
    assert!(near.iter().all(|vms| (1..=20).contains(vms)), "{near:?}");
}

/// A VM uses other targets when those of its subset are slow.
#[test]
fn slow_subset_avoided() {
    let mut harness = make_harness(0);
    run_requests(&mut harness, 60, |_| 100);
    let subset = get_used_targets(&harness);
    let before = harness.sent.len();
    run_requests(&mut harness, 20, |target| {
        if subset.contains(&target) { 500 } else { 100 }
    });
    let outside_subset = harness.sent[before..]
        .iter()
        .filter(|sent| !subset.contains(&sent.target.get_index()));
    assert_eq!(outside_subset.count(), 20);
}
