//! A planned stop completes the requests in flight.

use crate::test_env::{TestEnv, wait_until};
use std::time::Duration;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop() {
    let mut env = TestEnv::start(1).await;
    env.targets[0].set_work_time(Duration::from_millis(800));
    let mut long = env.vm.open().await.unwrap();
    long.send("POST", "/once/x", "long", 4_000).await.unwrap();
    let mut idle = env.vm.open().await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    env.vm.stop();
    wait_until(Duration::from_secs(1), || async {
        env.vm.check_readiness().await == Some(503)
    })
    .await;
    // The balancer in front still sends requests to this VM.
    let reply = idle.request("GET", "/look/x", "late").await.unwrap();
    assert_eq!(reply.status, 200);
    assert!(
        reply.is_closing(),
        "the answer announces that the connection closes"
    );
    let new = env.request("GET", "/look/x", "fresh").await;
    assert_eq!(new.status, 200);
    let reply = long
        .receive()
        .await
        .unwrap()
        .expect("the request in flight is answered");
    assert_eq!(reply.status, 200);
    wait_until(Duration::from_secs(5), || async { env.vm.is_finished() }).await;
}
