//! A planned stop cuts off nothing.

use crate::site::{Site, eventually};
use std::time::Duration;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop() {
    let mut site = Site::start(1).await;
    site.targets[0].set_work_time(Duration::from_millis(800));
    let mut long = site.vm.open().await.unwrap();
    long.send("POST", "/once/x", "long", 4_000).await.unwrap();
    let mut idle = site.vm.open().await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    site.vm.stop();
    eventually(Duration::from_secs(1), || async {
        site.vm.check_readiness().await == Some(503)
    })
    .await;
    // The balancer has not noticed yet.
    let reply = idle.request("GET", "/look/x", "late").await.unwrap();
    assert_eq!(reply.status, 200);
    assert!(reply.is_closing(), "the end of the connection is announced");
    let fresh = site.request("GET", "/look/x", "fresh").await;
    assert_eq!(fresh.status, 200);
    let reply = long
        .receive()
        .await
        .unwrap()
        .expect("the request in flight is answered");
    assert_eq!(reply.status, 200);
    eventually(Duration::from_secs(5), || async { site.vm.is_finished() }).await;
}
