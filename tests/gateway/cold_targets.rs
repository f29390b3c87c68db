//! Targets that have just started and bear a limited rate of requests.

use crate::test_env::{TestEnv, register, wait_until};
use gentianridge_testkit::{FakeTarget, write_config};
use std::time::{Duration, Instant};

/// Time after the start of a VM in which it may own a cold target.
const SETTLE_BOUND: Duration = Duration::from_secs(5);

/// Bound of the platform on the time in which a leaving target still gets work.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// Writes a configuration whose first service has a rate for cold targets.
fn put_cold_rate(env: &TestEnv, version: u64) {
    let cold = r#""max_conns":220,"cold_start":"3s","cold_per_s":5.0"#;
    let text = write_config(version, "").replacen(r#""max_conns":220"#, cold, 1);
    env.store.put("op", "config", text.as_bytes());
}

/// Sends requests one after the other for a time; returns how many the target ran.
async fn count_runs(env: &TestEnv, target: usize, prefix: &str, time: Duration) -> usize {
    let end = Instant::now() + time;
    let mut ids = Vec::new();
    while Instant::now() < end {
        let id = format!("{prefix}{}", ids.len());
        let reply = env.request("GET", "/look/x", &id).await;
        assert_eq!(reply.status, 200, "{id}");
        ids.push(id);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let runs = ids.iter().map(|id| env.targets[target].count_runs(id));
    runs.sum()
}

/// A target says in its health answers that it is cold, later that it is warm.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cold_by_health() {
    let env = TestEnv::start(2).await;
    env.targets[1].set_work_percent(140);
    env.targets[0].set_health_headers("gentianridge-cold-ms: 60000\r\n");
    put_cold_rate(&env, 5);
    tokio::time::sleep(SETTLE_BOUND).await;
    count_runs(&env, 0, "learn", Duration::from_millis(300)).await;
    let started = Instant::now();
    let runs = count_runs(&env, 0, "cold", Duration::from_secs(2)).await;
    // The settings hold no tolerance, so that this VM's part is below two requests a second.
    let most = 2 * started.elapsed().as_secs() as usize + 2;
    assert!(
        runs <= most,
        "{runs} requests to a cold target, {most} allowed"
    );
    env.targets[0].set_health_headers("");
    env.targets[1].set_work_percent(500);
    wait_until(Duration::from_secs(5), || async {
        count_runs(&env, 0, "warm", Duration::from_millis(300)).await > 5
    })
    .await;
}

/// The only target returns from an emptied domain: it is asked whether it is cold before it
/// gets requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn given_back_warm() {
    let env = TestEnv::start(1).await;
    put_cold_rate(&env, 5);
    env.store.put("op", "evacuate/d1", b"{}");
    wait_until(SETTLE_BOUND, || async {
        let reply = env.request("GET", "/look/x", "emptied").await;
        reply.get("gentianridge-code") == Some("2009")
    })
    .await;
    let before = env.targets[0].count_load_requests();
    env.store.remove("op", "evacuate/d1");
    wait_until(SETTLE_BOUND, || async {
        env.request("GET", "/look/x", "back").await.status == 200
    })
    .await;
    assert!(env.targets[0].count_load_requests() > before);
}

/// An entry says that the target is cold, and a target that is not is used instead.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cold_by_entry() {
    let mut env = TestEnv::start(1).await;
    put_cold_rate(&env, 5);
    let target = FakeTarget::start("t1").await.unwrap();
    target.set_health_headers("gentianridge-cold-ms: 60000\r\n");
    register(&env.store, &target, false, 1);
    let key = "t1";
    let entry = env.store.get_value("servers", key).unwrap();
    let text = String::from_utf8(entry).unwrap();
    let cold = text.replace(r#""cold_left":"0ms""#, r#""cold_left":"60s""#);
    assert_ne!(cold, text);
    env.store.put("servers", key, cold.as_bytes());
    env.targets[0].set_work_percent(140);
    env.targets.push(target);
    tokio::time::sleep(SETTLE_BOUND).await;
    let started = Instant::now();
    let runs = count_runs(&env, 1, "cold", Duration::from_secs(2)).await;
    let most = 2 * started.elapsed().as_secs() as usize + 2;
    assert!(
        runs <= most,
        "{runs} requests to a cold target, {most} allowed"
    );
}

/// Guards against a panic at each read of the list: an entry of another writer says that its
/// target is cold for longer than the clock can represent, and a leave is not seen any more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_beyond_the_clock() {
    let env = TestEnv::start(2).await;
    put_cold_rate(&env, 5);
    // Each read is checked for warm-ups once the rate is in force.
    tokio::time::sleep(DRAIN_BOUND).await;
    let entry = env.store.get_value("servers", "t0").unwrap();
    let text = String::from_utf8(entry).unwrap();
    let odd = text
        .replace(
            r#""cold_left":"0ms""#,
            r#""cold_left":"9999999999999999999s""#,
        )
        .replace(&env.targets[0].get_addr().to_string(), "127.0.0.1:9");
    assert_ne!(odd, text);
    // Entries are applied in descending order of their names.
    env.store.put("servers", "u0", odd.as_bytes());
    tokio::time::sleep(DRAIN_BOUND).await;
    register(&env.store, &env.targets[0], true, 1);
    tokio::time::sleep(DRAIN_BOUND).await;
    for index in 0..9 {
        let id = format!("a{index}");
        let reply = env.request("POST", "/once/x", &id).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "done by t1"));
    }
}
