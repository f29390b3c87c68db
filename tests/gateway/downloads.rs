//! Routes with large answers.

use crate::test_env::{TestEnv, put_config, wait_until};
use gentianridge_testkit::{FakeTarget, TargetBehavior, write_path};
use std::time::Duration;

async fn start(targets: usize) -> TestEnv {
    let env = TestEnv::start(targets).await;
    let path = format!(",{}", write_path("art", "/art/", "download"));
    put_config(&env.store, 2, &path);
    wait_until(Duration::from_secs(3), || async {
        env.request("GET", "/art/x", "probe").await.status == 200
    })
    .await;
    env
}

/// A download is idempotent: if its answer breaks off before the first byte was forwarded,
/// another target serves it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retried_download() {
    let env = start(2).await;
    env.targets[0].set_behavior(TargetBehavior::TruncatedLargeBody);
    env.targets[1].set_behavior(TargetBehavior::LargeBody);
    for index in 0..4 {
        let reply = env.request("GET", "/art/x", &format!("a{index}")).await;
        assert_eq!(reply.status, 200);
        assert!(reply.is_complete);
        assert_eq!(reply.body.len(), FakeTarget::LARGE_BODY);
    }
}

/// A caller that leaves in the middle of a large answer cancels it at the target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_download() {
    let env = start(1).await;
    env.targets[0].set_behavior(TargetBehavior::EndlessBody);
    let mut caller = env.vm.open().await.unwrap();
    caller.send("GET", "/art/x", "gone", 4_000).await.unwrap();
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(env.targets[0].count_cancelled(), 0);
    drop(caller);
    wait_until(Duration::from_millis(500), || async {
        env.targets[0].count_cancelled() == 1
    })
    .await;
}

/// A body without end is broken off visibly at the timeout of the route.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_download() {
    let env = start(1).await;
    env.targets[0].set_behavior(TargetBehavior::EndlessBody);
    let mut caller = env.vm.open().await.unwrap();
    caller
        .send("GET", "/art/x", "endless", 9_000)
        .await
        .unwrap();
    let received = tokio::time::timeout(Duration::from_secs(3), caller.read_to_end()).await;
    let bytes = received
        .expect("the answer ends at the timeout of 2 s")
        .unwrap();
    assert!(bytes.len() > 256 * 1024, "{} bytes", bytes.len());
    assert!(!bytes.ends_with(b"0\r\n\r\n"), "the answer looks complete");
    wait_until(Duration::from_millis(500), || async {
        env.targets[0].count_cancelled() == 1
    })
    .await;
}

/// A caller that reads its answer slowly gets all of it during a planned stop, although its
/// connection counts as idle once the answer was made.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_reader_in_stop() {
    let mut env = start(1).await;
    env.targets[0].set_behavior(TargetBehavior::LargeBody);
    let mut caller = env.vm.open().await.unwrap();
    caller.send("GET", "/art/x", "slow", 4_000).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    env.vm.stop();
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let reply = caller.receive().await.unwrap().expect("an answer");
    assert_eq!(reply.status, 200);
    assert!(reply.is_complete);
    assert_eq!(reply.body.len(), FakeTarget::LARGE_BODY);
    wait_until(Duration::from_secs(3), || async { env.vm.is_finished() }).await;
}
