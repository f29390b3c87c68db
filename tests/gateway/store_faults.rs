//! Requests are served while the store is unavailable.

use crate::test_env::{TestEnv, register, wait_until};
use gentianridge_testkit::StoreFault;
use std::time::Duration;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_outage() {
    let env = TestEnv::start(4).await;
    for fault in [
        StoreFault::Unavailable,
        StoreFault::Silent,
        StoreFault::Reset,
    ] {
        env.store.set_fault(fault);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let reply = env.request("GET", "/look/x", "a1").await;
        assert_eq!(reply.status, 200, "{fault:?}");
        assert_eq!(env.vm.check_readiness().await, Some(200), "{fault:?}");
        env.store.set_fault(StoreFault::None);
    }
    register(&env.store, &env.targets[0], true, 1);
    // A store call without an answer ends by its timeout before the list is read
    // again.
    let limit = Duration::from_secs(6);
    let others = env.targets.len() - 1;
    wait_until(limit, || async {
        let before = env.targets[0].count_all_runs();
        for index in 0..others * 2 {
            env.request("GET", "/look/x", &format!("b{index}")).await;
        }
        env.targets[0].count_all_runs() == before
    })
    .await;
}

/// Entries that expire while the store is unavailable are not treated as leaves
/// of their targets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn expired_entries() {
    let env = TestEnv::start(3).await;
    env.store.set_fault(StoreFault::Unavailable);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    for target in &env.targets {
        env.store.remove("servers", target.get_id());
    }
    env.store.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    assert_eq!(env.request("GET", "/look/x", "a1").await.status, 200);
    for target in &env.targets {
        register(&env.store, target, false, 1);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(env.request("GET", "/look/x", "a2").await.status, 200);
}
