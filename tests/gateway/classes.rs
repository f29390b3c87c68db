//! Once-only requests beside configurations that change the classes of their service.

use crate::test_env::{TestEnv, put_config, wait_until};
use gentianridge_testkit::write_path;
use std::time::Duration;

/// Work time after which an idempotent request would have been hedged.
const WORK_TIME: Duration = Duration::from_millis(1_200);

/// Returns a path of an idempotent route with a timeout of its own, and so with a class
/// of its own.
fn write_timeout_path(name: &str, timeout_ms: u32) -> String {
    let path = write_path(name, &format!("/{name}/"), "idempotent");
    format!(",{}", path.replace("2000ms", &format!("{timeout_ms}ms")))
}

/// Waits until the route `name` of a newer configuration is in force.
async fn wait_route(env: &TestEnv, name: &str) {
    wait_until(Duration::from_secs(5), || async {
        let path = format!("/{name}/x");
        env.request("GET", &path, "check").await.status == 200
    })
    .await;
}

/// Guards against once-only requests that run twice because their service has more classes
/// than a key of eight bits can count.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn once_beside_many_routes() {
    let env = TestEnv::start(3).await;
    let paths: String = (0..300)
        .map(|index| write_timeout_path(&format!("r{index}"), 1_000 + index * 5))
        .collect();
    put_config(&env.store, 2, &paths);
    wait_route(&env, "r299").await;
    for target in &env.targets {
        target.set_work_time(WORK_TIME);
    }
    let reply = env.request("POST", "/once/x", "once").await;
    assert_eq!(reply.status, 200);
    assert_eq!(env.count_runs("once"), 1);
}

/// Guards against once-only requests that run twice because a configuration renumbered the
/// classes while their body arrived.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upload_during_change() {
    let env = TestEnv::start(3).await;
    let mut caller = env.vm.open().await.unwrap();
    caller
        .write(
            "POST /once/x HTTP/1.1\r\nhost: shop.example\r\ngentianridge-attempt-id: once\r\n\
             gentianridge-deadline-ms: 6000\r\ncontent-length: 6\r\n\r\na b",
        )
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    put_config(&env.store, 2, &write_timeout_path("new", 1_500));
    wait_route(&env, "new").await;
    for target in &env.targets {
        target.set_work_time(WORK_TIME);
    }
    caller.write("ody").await.unwrap();
    let reply = caller.receive().await.unwrap().expect("an answer");
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(env.count_runs("once"), 1);
}
