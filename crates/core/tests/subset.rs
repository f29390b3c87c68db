//! The targets that a VM keeps to.

mod common;

use common::{Harness, SAMPLE_FRESH_MS, SHORT, make_sampled_spec};
use gentianridge_core::VmName;

const TARGETS: usize = 80;
const VMS: usize = 40;

/// A service in which every second target is in the VM's own domain.
fn make_bench(vm: usize) -> Harness {
    let mut spec = make_sampled_spec(TARGETS);
    for (index, target) in spec.targets.iter_mut().enumerate() {
        target.domain = if index % 2 == 0 { "near" } else { "far" }.into();
    }
    let mut harness = Harness::with_spec(spec);
    let name: VmName = format!("vm-{vm}").into();
    harness.service.set_place(&name, "near".into());
    harness
}

/// Plays requests one after the other; targets tell `percent` of their pace.
fn play(harness: &mut Harness, requests: usize, percent: impl Fn(usize) -> u16) {
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

fn used(harness: &Harness) -> Vec<usize> {
    let mut used: Vec<usize> = harness.sent.iter().map(|s| s.target.get_index()).collect();
    used.sort_unstable();
    used.dedup();
    used
}

/// One VM of many before many targets keeps to a few of its own domain, so that
/// their connections are used again before they are closed.
#[test]
fn few_targets() {
    let mut harness = make_bench(0);
    play(&mut harness, 60, |_| 100);
    let used = used(&harness);
    assert!(used.len() <= 8, "{used:?}");
    assert!(used.iter().all(|target| target % 2 == 0), "{used:?}");
}

/// All VMs together use every target, and none much more than the others.
#[test]
fn even_over_vms() {
    let mut vms_of = [0; TARGETS];
    for vm in 0..VMS {
        let mut harness = make_bench(vm);
        play(&mut harness, 60, |_| 100);
        for target in used(&harness) {
            vms_of[target] += 1;
        }
    }
    // 40 VMs with 8 targets each on 40 near ones are 8 a target.
    let near: Vec<usize> = vms_of.iter().copied().step_by(2).collect();
    assert!(near.iter().all(|vms| (1..=20).contains(vms)), "{near:?}");
}

/// When the targets that it keeps to are slow, a VM goes to others.
#[test]
fn slow_subset() {
    let mut harness = make_bench(0);
    play(&mut harness, 60, |_| 100);
    let kept = used(&harness);
    let before = harness.sent.len();
    play(&mut harness, 20, |target| {
        if kept.contains(&target) { 500 } else { 100 }
    });
    let elsewhere = harness.sent[before..]
        .iter()
        .filter(|sent| !kept.contains(&sent.target.get_index()));
    assert_eq!(elsewhere.count(), 20);
}
