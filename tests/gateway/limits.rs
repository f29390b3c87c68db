//! How long callers may take and stay idle.

use crate::site::Site;
use std::time::{Duration, Instant};

/// `header_timeout` of the site's configuration.
const HEAD: Duration = Duration::from_secs(3);

/// A head that has begun ends in time or its connection does; the time runs
/// from its first byte, not from the last answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_head() {
    let site = Site::start(1).await;
    let mut caller = site.vm.open().await.unwrap();
    assert_eq!(
        caller.request("GET", "/look/x", "a1").await.unwrap().status,
        200
    );
    tokio::time::sleep(HEAD / 2).await;
    let begun = Instant::now();
    caller
        .write("GET /look/x HTTP/1.1\r\nhost: sh")
        .await
        .unwrap();
    assert_eq!(caller.receive().await.unwrap(), None, "no answer was due");
    let took = begun.elapsed();
    assert!(took >= HEAD, "ended after {took:?}");
    assert!(took < HEAD + Duration::from_secs(1), "ended after {took:?}");
    assert_eq!(site.targets[0].count_all_runs(), 1);
}

/// An idle connection is kept for longer than a head may take.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connection() {
    let site = Site::start(1).await;
    let mut caller = site.vm.open().await.unwrap();
    for id in ["a1", "a2"] {
        let reply = caller.request("GET", "/look/x", id).await.unwrap();
        assert_eq!(reply.status, 200);
        tokio::time::sleep(HEAD + Duration::from_secs(1)).await;
    }
    assert_eq!(
        caller.request("GET", "/look/x", "a3").await.unwrap().status,
        200
    );
}
