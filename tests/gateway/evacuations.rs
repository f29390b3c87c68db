//! Failure domains that operators empty and give back.

use crate::test_env::{TestEnv, wait_until};
use gentianridge_testkit::{
    CART, FakeTarget, GatewayVm, StoreFault, TargetEntryValue, make_settings,
};
use std::time::Duration;

/// Bound within which an emptied failure domain gets nothing more.
const EVACUATE_BOUND: Duration = Duration::from_secs(5);

/// Starts an environment with `t0` in the domain `d1` and `t1` in `d2`.
pub(crate) async fn start_domains() -> TestEnv {
    let mut env = TestEnv::start(1).await;
    let target = FakeTarget::start("t1").await.unwrap();
    let entry = target.make_entry(&TargetEntryValue {
        service: CART.into(),
        zone: "d2".into(),
        is_draining: false,
        born: 1,
    });
    env.store.put("servers", "t1", &entry);
    env.targets.push(target);
    env
}

/// Returns the target that runs a request which is sent to the VM, or the status.
pub(crate) async fn find_target(vm: &GatewayVm, id: &str) -> String {
    let mut caller = vm.open().await.unwrap();
    let reply = caller.request("GET", "/look/x", id).await.unwrap();
    match reply.status {
        200 => reply.body,
        status => status.to_string(),
    }
}

/// Waits until the VM answers several requests in a row by the target.
pub(crate) async fn wait_for_target(vm: &GatewayVm, target: &str) {
    wait_until(EVACUATE_BOUND, || async {
        for index in 0..3 {
            if find_target(vm, &format!("w{index}")).await != target {
                return false;
            }
        }
        true
    })
    .await;
}

/// Every VM obeys, also one that starts while the store answers nobody; the domain is used
/// again once it is given back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn emptied_and_back() {
    let env = start_domains().await;
    let vm = GatewayVm::start("vm-2", env.store.get_addr()).unwrap();
    vm.wait_ready().await.unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    env.store.put("op", "evacuate/d1", b"{}");
    wait_for_target(&env.vm, "done by t1").await;
    wait_for_target(&vm, "done by t1").await;
    env.store.set_fault(StoreFault::Silent);
    let mut settings = make_settings("vm-3", env.store.get_addr());
    settings.seeds = vec![env.vm.get_settings().peers];
    let late = GatewayVm::start_with(settings).unwrap();
    late.wait_ready().await.unwrap();
    for index in 0..10 {
        for vm in [&env.vm, &vm, &late] {
            let id = format!("e{index}");
            assert_eq!(find_target(vm, &id).await, "done by t1");
        }
    }
    env.store.set_fault(StoreFault::None);
    env.store.remove("op", "evacuate/d1");
    env.store.put("op", "evacuate/d2", b"{}");
    for vm in [&env.vm, &vm, &late] {
        wait_for_target(vm, "done by t0").await;
    }
}

/// A domain is given back while the history of the store is dropped, so that the VM has to
/// read the table in full.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dropped_history() {
    let env = start_domains().await;
    env.store.put("op", "evacuate/d1", b"{}");
    wait_for_target(&env.vm, "done by t1").await;
    env.store.remove("op", "evacuate/d1");
    env.store.put("op", "evacuate/d2", b"{}");
    env.store.compact();
    wait_for_target(&env.vm, "done by t0").await;
}

/// The last targets of a service are emptied: requests are refused at once and truthfully,
/// those that wait too, and work under way ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn last_domain() {
    let env = TestEnv::start(1).await;
    env.targets[0].set_work_time(Duration::from_millis(1_500));
    let mut running = env.vm.open().await.unwrap();
    running
        .send("POST", "/once/x", "long", 4_000)
        .await
        .unwrap();
    wait_until(EVACUATE_BOUND, || async { env.count_runs("long") == 1 }).await;
    env.store.put("op", "evacuate/d1", b"{}");
    wait_until(EVACUATE_BOUND, || async {
        let reply = env.request("GET", "/look/x", "new").await;
        reply.get("gentianridge-code") == Some("2009")
    })
    .await;
    let runs = env.count_runs("new");
    let reply = env.request("GET", "/look/x", "new").await;
    assert_eq!(reply.status, 503);
    assert!(reply.get("retry-after").is_some());
    assert_eq!(env.count_runs("new"), runs);
    let reply = running.receive().await.unwrap().expect("the work ends");
    assert_eq!(reply.status, 200);
    env.store.remove("op", "evacuate/d1");
    env.targets[0].set_work_time(Duration::ZERO);
    wait_for_target(&env.vm, "done by t0").await;
}
