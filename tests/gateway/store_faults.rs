//! Requests are served while the store is away.

use crate::site::{Site, eventually, register};
use gentianridge_testkit::StoreFault;
use std::time::Duration;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn away_and_back() {
    let site = Site::start(4).await;
    for fault in [
        StoreFault::Unavailable,
        StoreFault::Silent,
        StoreFault::Reset,
    ] {
        site.store.set_fault(fault);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let reply = site.request("GET", "/look/x", "a1").await;
        assert_eq!(reply.status, 200, "{fault:?}");
        assert_eq!(site.vm.check_readiness().await, Some(200), "{fault:?}");
        site.store.set_fault(StoreFault::None);
    }
    register(&site.store, &site.targets[0], true, 1);
    // A silent call ends by its time-out before the list is read again.
    let limit = Duration::from_secs(6);
    let others = site.targets.len() - 1;
    eventually(limit, || async {
        let before = site.targets[0].count_all_runs();
        for index in 0..others * 2 {
            site.request("GET", "/look/x", &format!("b{index}")).await;
        }
        site.targets[0].count_all_runs() == before
    })
    .await;
}

/// Entries that lapse with the store away are no leave of their targets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lapsed_entries() {
    let site = Site::start(3).await;
    site.store.set_fault(StoreFault::Unavailable);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    for target in &site.targets {
        site.store.remove("servers", target.get_id());
    }
    site.store.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    assert_eq!(site.request("GET", "/look/x", "a1").await.status, 200);
    for target in &site.targets {
        register(&site.store, target, false, 1);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(site.request("GET", "/look/x", "a2").await.status, 200);
}
