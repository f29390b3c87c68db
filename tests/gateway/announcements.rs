//! Targets that announce their leave or ask for a pause in their answers.

use crate::test_env::{TestEnv, register, wait_until};
use gentianridge_testkit::{FakeTarget, GatewayVm, StoreFault, TargetBehavior};
use std::time::{Duration, Instant};

const LEAVING: &str = "server-leaving: 1\r\n";
/// Time within which the other VMs of a fleet are notified of a leave.
const FLEET_BOUND: Duration = Duration::from_millis(300);

/// Sends requests to the daemon and returns the bodies of the answers.
async fn collect_bodies(vm: &GatewayVm, method: &str, path: &str, prefix: &str) -> Vec<String> {
    let mut bodies = Vec::new();
    for index in 0..8 {
        let mut caller = vm.open().await.unwrap();
        let id = format!("{prefix}{index}");
        let reply = caller.request(method, path, &id).await.unwrap();
        let code = reply.get("gentianridge-code");
        assert_eq!(reply.status, 200, "{id}, code {code:?}");
        bodies.push(reply.body);
    }
    bodies
}

/// Makes the daemon prefer a target.
fn prefer(env: &TestEnv, preferred: usize) {
    for (index, target) in env.targets.iter().enumerate() {
        target.set_work_percent(if index == preferred { 100 } else { 500 });
    }
}

/// The leave is in force after the first answer that announces it, also while the store is
/// away, and a list that still names the target as ready does not revoke it. The next
/// incarnation gets work again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leave_in_answer() {
    let env = TestEnv::start(2).await;
    prefer(&env, 0);
    env.store.set_fault(StoreFault::Silent);
    env.targets[0].set_request_headers(LEAVING);
    assert_eq!(
        env.request("GET", "/look/x", "first").await.body,
        "done by t0"
    );
    let bodies = collect_bodies(&env.vm, "GET", "/look/x", "a").await;
    assert!(bodies.iter().all(|body| body == "done by t1"), "{bodies:?}");
    env.store.set_fault(StoreFault::None);
    register(&env.store, &env.targets[0], false, 1);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let bodies = collect_bodies(&env.vm, "POST", "/once/x", "b").await;
    assert!(bodies.iter().all(|body| body == "done by t1"), "{bodies:?}");
    env.targets[0].set_request_headers("");
    register(&env.store, &env.targets[0], false, 2);
    wait_until(Duration::from_secs(3), || async {
        env.request("GET", "/look/x", "again").await.body == "done by t0"
    })
    .await;
}

/// A target whose load request announces the leave gets no request at all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leave_in_load_answer() {
    let env = TestEnv::start(2).await;
    prefer(&env, 1);
    env.targets[0].set_health_headers(LEAVING);
    collect_bodies(&env.vm, "GET", "/look/x", "a").await;
    assert!(env.targets[0].count_load_requests() > 0);
    let before = env.targets[0].get_arrivals().len();
    prefer(&env, 0);
    collect_bodies(&env.vm, "GET", "/look/x", "b").await;
    assert_eq!(env.targets[0].get_arrivals().len(), before);
}

/// The request that was refused goes to another target, and no later one to the target
/// that leaves. The same holds if the answer is truncated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leave_in_failed_answer() {
    for behavior in [TargetBehavior::NotRun, TargetBehavior::TruncatedBody] {
        let env = TestEnv::start(2).await;
        prefer(&env, 0);
        env.targets[0].set_behavior(behavior);
        env.targets[0].set_request_headers(LEAVING);
        let bodies = collect_bodies(&env.vm, "GET", "/look/x", "a").await;
        assert!(bodies.iter().all(|body| body == "done by t1"), "{bodies:?}");
        assert_eq!(env.targets[0].get_arrivals().len(), 1, "{behavior:?}");
    }
}

/// `Connection: close` ends one connection and announces nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn close_is_no_leave() {
    let env = TestEnv::start(1).await;
    for headers in ["connection: close\r\n", "server-leaving: 0\r\n"] {
        env.targets[0].set_request_headers(headers);
        collect_bodies(&env.vm, "GET", "/look/x", "a").await;
    }
}

/// The other VMs of the fleet stop to use the target within the bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leave_reaches_fleet() {
    let env = TestEnv::start(2).await;
    let others: Vec<GatewayVm> = (2..5)
        .map(|index| GatewayVm::start(&format!("vm-{index}"), env.store.get_addr()).unwrap())
        .collect();
    for vm in &others {
        vm.wait_ready().await.unwrap();
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    prefer(&env, 0);
    env.targets[0].set_request_headers(LEAVING);
    assert_eq!(
        env.request("POST", "/once/x", "first").await.body,
        "done by t0"
    );
    env.targets[0].set_request_headers("");
    tokio::time::sleep(FLEET_BOUND).await;
    for (index, vm) in others.iter().enumerate() {
        let bodies = collect_bodies(vm, "GET", "/look/x", &format!("v{index}-")).await;
        assert!(bodies.iter().all(|body| body == "done by t1"), "{bodies:?}");
    }
}

/// Counts everything that reached a target: requests and load requests.
fn count_arrivals(target: &FakeTarget) -> usize {
    target.get_arrivals().len() + target.count_load_requests()
}

/// A target that refuses a request with a pause gets nothing from this VM until its end,
/// and work again after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pause_kept() {
    let env = TestEnv::start(2).await;
    prefer(&env, 0);
    env.targets[0].set_behavior(TargetBehavior::NotRun);
    env.targets[0].set_request_headers("retry-after: 1.5\r\n");
    let reply = env.request("GET", "/look/x", "first").await;
    assert_eq!(
        reply.body, "done by t1",
        "the refused request goes elsewhere"
    );
    let asked_at = Instant::now();
    env.targets[0].set_behavior(TargetBehavior::Normal);
    env.targets[0].set_request_headers("");
    tokio::time::sleep(Duration::from_millis(50)).await;
    let before = count_arrivals(&env.targets[0]);
    let mut sent = 0;
    while asked_at.elapsed() < Duration::from_millis(1_200) {
        let body = env
            .request("GET", "/look/x", &format!("a{sent}"))
            .await
            .body;
        assert_eq!(body, "done by t1");
        sent += 1;
    }
    assert_eq!(count_arrivals(&env.targets[0]), before);
    wait_until(Duration::from_secs(2), || async {
        env.request("GET", "/look/x", "again").await.body == "done by t0"
    })
    .await;
}

/// Once-only work that may have run is not repeated, and the pause holds all the same.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pause_without_statement() {
    let env = TestEnv::start(2).await;
    prefer(&env, 0);
    env.targets[0].set_behavior(TargetBehavior::PlainRefusal);
    env.targets[0].set_request_headers("retry-after: 30\r\n");
    assert_eq!(env.request("POST", "/once/x", "first").await.status, 502);
    let bodies = collect_bodies(&env.vm, "POST", "/once/x", "a").await;
    assert!(bodies.iter().all(|body| body == "done by t1"), "{bodies:?}");
    assert_eq!(env.targets[0].get_arrivals().len(), 1);
}

/// A load request may be refused with a pause too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pause_in_load_answer() {
    let env = TestEnv::start(2).await;
    prefer(&env, 1);
    env.targets[0].set_health_status(503);
    env.targets[0].set_health_headers("retry-after: 60\r\n");
    collect_bodies(&env.vm, "GET", "/look/x", "a").await;
    let before = count_arrivals(&env.targets[0]);
    assert!(before > 0);
    prefer(&env, 0);
    tokio::time::sleep(Duration::from_millis(200)).await;
    collect_bodies(&env.vm, "GET", "/look/x", "b").await;
    assert_eq!(count_arrivals(&env.targets[0]), before);
}

/// If every target is paused for longer than a request can wait, it is refused at once, with the
/// time at which the first one returns.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_targets_paused() {
    let env = TestEnv::start(2).await;
    for (target, pause) in env.targets.iter().zip([9, 1]) {
        target.set_behavior(TargetBehavior::NotRun);
        target.set_request_headers(&format!("retry-after: {pause}\r\n"));
    }
    env.request("GET", "/look/x", "first").await;
    let sent_at = Instant::now();
    let reply = env.request("GET", "/look/x", "second").await;
    assert_eq!(reply.status, 503);
    assert_eq!(reply.get("gentianridge-code"), Some("2007"));
    assert!(
        sent_at.elapsed() < Duration::from_millis(200),
        "{:?}",
        sent_at.elapsed()
    );
    let pause: f64 = reply.get("retry-after").unwrap().parse().unwrap();
    assert!((0.7..=1.25).contains(&pause), "{pause}");
}

/// The pause binds only the VM that got the answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pause_of_one_vm() {
    let env = TestEnv::start(2).await;
    let other = GatewayVm::start("vm-2", env.store.get_addr()).unwrap();
    other.wait_ready().await.unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    prefer(&env, 0);
    env.targets[0].set_behavior(TargetBehavior::NotRun);
    env.targets[0].set_request_headers("retry-after: 60\r\n");
    env.request("GET", "/look/x", "first").await;
    env.targets[0].set_behavior(TargetBehavior::Normal);
    env.targets[0].set_request_headers("");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let bodies = collect_bodies(&env.vm, "GET", "/look/x", "a").await;
    assert!(bodies.iter().all(|body| body == "done by t1"), "{bodies:?}");
    wait_until(Duration::from_secs(2), || async {
        let mut caller = other.open().await.unwrap();
        caller.request("GET", "/look/x", "b").await.unwrap().body == "done by t0"
    })
    .await;
}

/// Values that are no time change nothing, negative ones and past dates are no pause, and
/// huge ones and dates in the future are one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_pauses() {
    let cases = [
        ("soon", false),
        ("-5", false),
        ("nan", false),
        ("0", false),
        ("Thu, 01 Jan 1970 00:00:00 GMT", false),
        ("1e300", true),
        ("inf", true),
        ("99999999999999999999", true),
        ("Fri, 31 Dec 9999 23:59:59 GMT", true),
    ];
    for (value, is_pause) in cases {
        let env = TestEnv::start(2).await;
        prefer(&env, 0);
        env.targets[0].set_behavior(TargetBehavior::NotRun);
        env.targets[0].set_request_headers(&format!("retry-after: {value}\r\n"));
        env.request("GET", "/look/x", "first").await;
        env.targets[0].set_behavior(TargetBehavior::Normal);
        env.targets[0].set_request_headers("");
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        let bodies = collect_bodies(&env.vm, "GET", "/look/x", "a").await;
        let is_used = bodies.iter().any(|body| body == "done by t0");
        assert_eq!(is_used, !is_pause, "{value}: {bodies:?}");
    }
}
