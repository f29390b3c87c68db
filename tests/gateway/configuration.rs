//! Configurations come in force upward only, and soon.

use crate::site::{Site, eventually, put_config, register};
use gentianridge_testkit::{FakeStore, FakeTarget, GatewayVm, StoreFault};
use std::time::Duration;

/// One more route than the first configuration has.
pub(crate) const MORE: &str = r#",{"name":"new","path_prefix":"/new/","kind":"idempotent","timeout":"2000ms",
    "slo_latency":"600ms","priority":1,"service":"cart","max_attempts":2}"#;

/// Bound of the platform on the time until a configuration is in force.
pub(crate) const APPLY: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_configuration() {
    let store = FakeStore::start().await.unwrap();
    let vm = GatewayVm::start("vm-1", store.get_addr()).unwrap();
    eventually(Duration::from_secs(5), || async {
        vm.check_readiness().await == Some(503)
    })
    .await;
    let mut caller = vm.open().await.unwrap();
    let reply = caller.request("GET", "/look/x", "a1").await.unwrap();
    assert_eq!(reply.status, 503, "the route may exist");
}

/// A request that comes before the first configuration waits a moment for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn first_moments() {
    let store = FakeStore::start().await.unwrap();
    let target = FakeTarget::start("t0").await.unwrap();
    store.set_fault(StoreFault::Unavailable);
    let vm = GatewayVm::start("vm-1", store.get_addr()).unwrap();
    eventually(Duration::from_secs(5), || async {
        vm.check_readiness().await == Some(503)
    })
    .await;
    put_config(&store, 1, "");
    register(&store, &target, false, 1);
    let mut early = vm.open().await.unwrap();
    let mut reply = early.request("GET", "/look/x", "a1").await.unwrap();
    assert_eq!(reply.status, 503, "the store is away for longer");
    store.set_fault(StoreFault::None);
    // The pause between two tries is longer than a request waits.
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
    let site = Site::start(1).await;
    assert_eq!(site.request("GET", "/new/x", "a1").await.status, 404);
    put_config(&site.store, 7, MORE);
    eventually(APPLY, || async {
        site.request("GET", "/new/x", "a2").await.status == 200
    })
    .await;
    put_config(&site.store, 5, "");
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        site.request("GET", "/new/x", "a3").await.status,
        200,
        "never backwards"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreadable_configuration() {
    let site = Site::start(1).await;
    site.store
        .put("op", "config", b"{\"version\":\"00000009\"}");
    site.store.remove("op", "config");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(site.request("GET", "/look/x", "a1").await.status, 200);
    put_config(&site.store, 10, MORE);
    eventually(APPLY, || async {
        site.request("GET", "/new/x", "a2").await.status == 200
    })
    .await;
}

/// Requests that wait or run while their route changes are answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_under_load() {
    let site = Site::start(1).await;
    site.targets[0].set_work_time(Duration::from_millis(100));
    let asked = (0..12).map(|index| {
        let site = &site;
        async move {
            tokio::time::sleep(Duration::from_millis(20 * index)).await;
            site.request("GET", "/look/x", &format!("a{index}"))
                .await
                .status
        }
    });
    let changes = async {
        for version in 2..8 {
            put_config(
                &site.store,
                version,
                if version % 2 == 0 { MORE } else { "" },
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let (statuses, ()) = tokio::join!(futures_util::future::join_all(asked), changes);
    assert!(
        statuses.iter().all(|status| matches!(status, 200 | 503)),
        "{statuses:?}"
    );
    assert!(
        statuses.iter().filter(|status| **status == 200).count() >= 8,
        "{statuses:?}"
    );
}
