//! A configuration takes effect within a time bound, and only if its version is
//! higher than the one in force.

use crate::test_env::{TestEnv, put_config, register, wait_until};
use gentianridge_testkit::{FakeStore, FakeTarget, GatewayVm, StoreFault};
use std::time::Duration;

/// A route that the first configuration does not have.
pub(crate) const EXTRA_ROUTE: &str = r#",{"name":"new","path_prefix":"/new/","kind":"idempotent","timeout":"2000ms",
    "slo_latency":"600ms","priority":1,"service":"cart","max_attempts":2}"#;

/// Bound of the platform on the time until a configuration is in force.
pub(crate) const APPLY_BOUND: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn missing_configuration() {
    let store = FakeStore::start().await.unwrap();
    let vm = GatewayVm::start("vm-1", store.get_addr()).unwrap();
    wait_until(Duration::from_secs(5), || async {
        vm.check_readiness().await == Some(503)
    })
    .await;
    let mut caller = vm.open().await.unwrap();
    let reply = caller.request("GET", "/look/x", "a1").await.unwrap();
    assert_eq!(
        reply.status, 503,
        "the route may exist in a configuration that is not read yet"
    );
}

/// A request that arrives before the first configuration waits briefly for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_during_startup() {
    let store = FakeStore::start().await.unwrap();
    let target = FakeTarget::start("t0").await.unwrap();
    store.set_fault(StoreFault::Unavailable);
    let vm = GatewayVm::start("vm-1", store.get_addr()).unwrap();
    wait_until(Duration::from_secs(5), || async {
        vm.check_readiness().await == Some(503)
    })
    .await;
    put_config(&store, 1, "");
    register(&store, &target, false, 1);
    let mut early = vm.open().await.unwrap();
    let mut reply = early.request("GET", "/look/x", "a1").await.unwrap();
    assert_eq!(
        reply.status, 503,
        "the store is unavailable for longer than the request waits"
    );
    store.set_fault(StoreFault::None);
    // The pause between two reads of the store is longer than a request waits.
    for index in 0..10 {
        let mut caller = vm.open().await.unwrap();
        reply = caller
            .request("GET", "/look/x", &format!("b{index}"))
            .await
            .unwrap();
        if reply.status == 200 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(reply.status, 200);
    let started = GatewayVm::start("vm-2", store.get_addr()).unwrap();
    let mut first = started.open().await.unwrap();
    let reply = first.request("GET", "/look/x", "c1").await.unwrap();
    assert_eq!(reply.status, 200, "the first request of a new daemon");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn newer_version() {
    let env = TestEnv::start(1).await;
    assert_eq!(env.request("GET", "/new/x", "a1").await.status, 404);
    put_config(&env.store, 7, EXTRA_ROUTE);
    wait_until(APPLY_BOUND, || async {
        env.request("GET", "/new/x", "a2").await.status == 200
    })
    .await;
    put_config(&env.store, 5, "");
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        env.request("GET", "/new/x", "a3").await.status,
        200,
        "a lower version is not applied"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreadable_configuration() {
    let env = TestEnv::start(1).await;
    env.store.put("op", "config", b"{\"version\":\"00000009\"}");
    env.store.remove("op", "config");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(env.request("GET", "/look/x", "a1").await.status, 200);
    put_config(&env.store, 10, EXTRA_ROUTE);
    wait_until(APPLY_BOUND, || async {
        env.request("GET", "/new/x", "a2").await.status == 200
    })
    .await;
}

/// Requests that are queued or running while their route changes are answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_under_load() {
    let env = TestEnv::start(1).await;
    env.targets[0].set_work_time(Duration::from_millis(100));
    let requests = (0..12).map(|index| {
        let env = &env;
        async move {
            tokio::time::sleep(Duration::from_millis(20 * index)).await;
            env.request("GET", "/look/x", &format!("a{index}"))
                .await
                .status
        }
    });
    let changes = async {
        for version in 2..8 {
            put_config(
                &env.store,
                version,
                if version % 2 == 0 { EXTRA_ROUTE } else { "" },
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let (statuses, ()) = tokio::join!(futures_util::future::join_all(requests), changes);
    assert!(
        statuses.iter().all(|status| matches!(status, 200 | 503)),
        "{statuses:?}"
    );
    assert!(
        statuses.iter().filter(|status| **status == 200).count() >= 8,
        "{statuses:?}"
    );
}
