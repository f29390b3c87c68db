//! Time limits on request heads and idle connections.

use crate::test_env::TestEnv;
use std::time::{Duration, Instant};

/// `header_timeout` in the configuration of the test environment.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection is closed if a request head is not complete in time. The time
/// is measured from the first byte of the head, not from the previous answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_head() {
    let env = TestEnv::start(1).await;
    let mut caller = env.vm.open().await.unwrap();
    assert_eq!(
        caller.request("GET", "/look/x", "a1").await.unwrap().status,
        200
    );
    tokio::time::sleep(HEADER_TIMEOUT / 2).await;
    let started = Instant::now();
    caller
        .write("GET /look/x HTTP/1.1\r\nhost: sh")
        .await
        .unwrap();
    assert_eq!(
        caller.receive().await.unwrap(),
        None,
        "the connection closes without an answer"
    );
    let took = started.elapsed();
    assert!(took >= HEADER_TIMEOUT, "closed after {took:?}");
    assert!(
        took < HEADER_TIMEOUT + Duration::from_secs(1),
        "closed after {took:?}"
    );
    assert_eq!(env.targets[0].count_all_runs(), 1);
}

/// `header_timeout` does not apply to an idle connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connection() {
    let env = TestEnv::start(1).await;
    let mut caller = env.vm.open().await.unwrap();
    for id in ["a1", "a2"] {
        let reply = caller.request("GET", "/look/x", id).await.unwrap();
        assert_eq!(reply.status, 200);
        tokio::time::sleep(HEADER_TIMEOUT + Duration::from_secs(1)).await;
    }
    assert_eq!(
        caller.request("GET", "/look/x", "a3").await.unwrap().status,
        200
    );
}
