//! Bodies that are longer than what the daemon holds, and are forwarded as they arrive.

use crate::test_env::{TestEnv, wait_until};
use gentianridge_testkit::{CallerConnection, TargetBehavior, write_config};
use std::time::Duration;

/// Memory of the VM in megabytes, of which a body may take 600 kB.
const MEGABYTES: u32 = 16;
/// Length of a body that is forwarded as it arrives.
const LONG: usize = 3 * 1024 * 1024;

async fn start(targets: usize) -> TestEnv {
    let env = TestEnv::start_with(targets, |settings| {
        settings.memory_megabytes = Some(MEGABYTES);
    })
    .await;
    let config = write_config(2, "").replace(
        "\"max_body_bytes\":1000",
        &format!("\"max_body_bytes\":{}", 2 * LONG),
    );
    env.store.put("op", "config", config.as_bytes());
    let body = "x".repeat(2_000);
    wait_until(Duration::from_secs(3), || async {
        let mut caller = env.vm.open().await.unwrap();
        let reply = caller.request_with_body("/look/probe", "probe", &body);
        reply.await.is_ok_and(|reply| reply.status == 200)
    })
    .await;
    env
}

/// Returns bytes without a period that divides the size of a buffer.
fn make_body(length: usize) -> String {
    (0..length)
        .map(|index| char::from(b'a' + (index % 23) as u8))
        .collect()
}

fn make_head(path: &str, id: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\ngentianridge-attempt-id: {id}\r\n\
         gentianridge-deadline-ms: 4000\r\n{framing}\r\n\r\n"
    )
}

/// Sends the start of a long body with a stated length, so that its target gets a part of it.
async fn send_start(env: &TestEnv, path: &str, id: &str) -> CallerConnection {
    let mut caller = env.vm.open().await.unwrap();
    let head = make_head(path, id, &format!("content-length: {LONG}"));
    caller.write(&head).await.unwrap();
    caller.write(&make_body(LONG / 2)).await.unwrap();
    caller
}

/// The target gets exactly the caller's bytes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stated_length() {
    let env = start(1).await;
    let body = make_body(LONG);
    for (path, id) in [("/once/x", "a1"), ("/look/x", "a2")] {
        let mut caller = env.vm.open().await.unwrap();
        let reply = caller.request_with_body(path, id, &body).await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert!(env.targets[0].get_body(id).unwrap() == body.as_bytes());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunked_body() {
    let env = start(1).await;
    let body = make_body(LONG);
    let mut caller = env.vm.open().await.unwrap();
    let head = make_head("/once/x", "a1", "transfer-encoding: chunked");
    caller.write(&head).await.unwrap();
    for part in body.as_bytes().chunks(70_001) {
        let part = std::str::from_utf8(part).unwrap();
        let chunk = format!("{:x}\r\n{part}\r\n", part.len());
        caller.write(&chunk).await.unwrap();
    }
    caller.write("0\r\n\r\n").await.unwrap();
    let reply = caller.receive().await.unwrap().unwrap();
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert!(env.targets[0].get_body("a1").unwrap() == body.as_bytes());
    let reply = caller.request("GET", "/look/x", "a2").await.unwrap();
    assert_eq!(reply.status, 200, "the connection is used again");
}

/// A target that answers before it has read the body gets no other bytes where the rest of
/// it is due.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn early_answer() {
    let env = start(1).await;
    env.targets[0].set_behavior(TargetBehavior::EarlyAnswer);
    let mut caller = send_start(&env, "/once/x", "a1").await;
    let reply = caller.receive().await.unwrap().unwrap();
    assert_eq!((reply.status, reply.body.as_str()), (200, "early"));
    env.targets[0].set_behavior(TargetBehavior::Normal);
    for index in 0..8 {
        let reply = env.request("GET", "/look/x", &format!("b{index}")).await;
        assert_eq!(reply.status, 200);
    }
    wait_until(Duration::from_secs(2), || async {
        env.targets[0].count_cancelled() == 1
    })
    .await;
    let arrivals = env.targets[0].get_arrivals();
    assert!(!arrivals.contains(&String::new()), "{arrivals:?}");
    assert_eq!(env.count_runs("a1"), 0, "the body is never complete");
}

/// A refusal that the target itself states is passed on as one, and the request is not sent
/// to another target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn early_refusal() {
    let env = start(2).await;
    for target in &env.targets {
        target.set_behavior(TargetBehavior::EarlyRefusal);
    }
    let mut caller = send_start(&env, "/once/x", "a1").await;
    let reply = caller.receive().await.unwrap().unwrap();
    assert_eq!(reply.status, 503);
    assert_eq!(reply.get("gentianridge-run"), Some("not-run"));
    let arrivals = env.targets.iter().flat_map(|target| target.get_arrivals());
    assert_eq!(arrivals.filter(|id| id == "a1").count(), 1);
}

/// A caller that leaves in the middle ends the target's connection; the body is not completed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_caller() {
    let env = start(1).await;
    let caller = send_start(&env, "/once/x", "a1").await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    drop(caller);
    wait_until(Duration::from_secs(2), || async {
        env.targets[0].count_cancelled() == 1
    })
    .await;
    assert_eq!(env.count_runs("a1"), 0);
    assert_eq!(env.request("POST", "/once/x", "a2").await.status, 200);
}

/// A caller that stops in the middle gets no promise, since the target has a part of the body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_caller() {
    let env = start(2).await;
    let mut caller = send_start(&env, "/once/x", "a1").await;
    let reply = caller.receive().await.unwrap();
    assert!(
        reply.is_none() || reply.as_ref().is_some_and(|reply| reply.status == 504),
        "{reply:?}"
    );
    assert_eq!(env.count_runs("a1"), 0);
}

/// A target that loses its connection in the middle may have run the request: there is no
/// promise and no second send, also where the route would allow one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_target() {
    let env = start(2).await;
    for target in &env.targets {
        target.set_behavior(TargetBehavior::LostAnswer);
    }
    let body = make_body(LONG);
    for (path, id) in [("/once/x", "a1"), ("/look/x", "a2")] {
        let mut caller = env.vm.open().await.unwrap();
        let reply = caller.request_with_body(path, id, &body).await.unwrap();
        assert_eq!(reply.status, 502, "{}", reply.body);
        assert_eq!(env.count_runs(id), 1);
    }
}
