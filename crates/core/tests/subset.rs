//! The targets that a VM keeps to.

mod common;

use common::{Bench, FRESH_MS, SHORT, make_sampled_spec};
use gentianridge_core::VmName;

const TARGETS: usize = 80;
const VMS: usize = 40;

/// A service in which every second target is in the VM's own domain.
fn make_bench(vm: usize) -> Bench {
    let mut spec = make_sampled_spec(TARGETS);
    for (index, target) in spec.targets.iter_mut().enumerate() {
        target.domain = if index % 2 == 0 { "near" } else { "far" }.into();
    }
    let mut bench = Bench::with(spec);
    let name: VmName = format!("vm-{vm}").into();
    bench.service.set_location(&name, "near".into());
    bench
}

/// Plays requests one after the other; targets tell `percent` of their pace.
fn play(bench: &mut Bench, requests: usize, percent: impl Fn(usize) -> u16) {
    for _ in 0..requests {
        let call = bench.arrive_within(SHORT, 4_000);
        for _ in 0..50 {
            if bench.is_sent(call) {
                break;
            }
            for target in std::mem::take(&mut bench.asked) {
                bench.tell_pace(target, percent(target.get_index()));
            }
            bench.pass(10);
        }
        let sent = bench.last_of(call);
        bench.pass(190);
        bench.answer(sent);
        bench.pass(FRESH_MS + 1);
    }
}

fn used(bench: &Bench) -> Vec<usize> {
    let mut used: Vec<usize> = bench.sent.iter().map(|s| s.target.get_index()).collect();
    used.sort_unstable();
    used.dedup();
    used
}

/// One VM of many before many targets keeps to a few of its own domain, so that
/// their connections are used again before they are closed.
#[test]
fn few_targets() {
    let mut bench = make_bench(0);
    play(&mut bench, 60, |_| 100);
    let used = used(&bench);
    assert!(used.len() <= 8, "{used:?}");
    assert!(used.iter().all(|target| target % 2 == 0), "{used:?}");
}

/// All VMs together use every target, and none much more than the others.
#[test]
fn even_over_vms() {
    let mut vms_of = [0; TARGETS];
    for vm in 0..VMS {
        let mut bench = make_bench(vm);
        play(&mut bench, 60, |_| 100);
        for target in used(&bench) {
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
    let mut bench = make_bench(0);
    play(&mut bench, 60, |_| 100);
    let kept = used(&bench);
    let before = bench.sent.len();
    play(&mut bench, 20, |target| {
        if kept.contains(&target) { 500 } else { 100 }
    });
    let elsewhere = bench.sent[before..]
        .iter()
        .filter(|sent| !kept.contains(&sent.target.get_index()));
    assert_eq!(elsewhere.count(), 20);
}
