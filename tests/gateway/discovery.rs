//! Targets that register, leave and are replaced.

use crate::test_env::{TestEnv, register, wait_until};
use gentianridge_testkit::{CART, FakeTarget, TargetEntryValue};
use std::time::Duration;

/// Bound of the platform on the time in which a leaving target still gets work.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// Sends nine requests and returns their bodies, which name the target.
async fn collect_bodies(env: &TestEnv, prefix: &str) -> Vec<String> {
    let mut bodies = Vec::new();
    for index in 0..9 {
        let reply = env
            .request("GET", "/look/x", &format!("{prefix}{index}"))
            .await;
        assert_eq!(reply.status, 200);
        bodies.push(reply.body);
    }
    bodies
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announced_leave() {
    let env = TestEnv::start(2).await;
    register(&env.store, &env.targets[0], true, 1);
    tokio::time::sleep(DRAIN_BOUND).await;
    let bodies = collect_bodies(&env, "a").await;
    assert!(bodies.iter().all(|body| body == "done by t1"), "{bodies:?}");
    register(&env.store, &env.targets[0], false, 2);
    env.targets[1].set_work_percent(500);
    wait_until(DRAIN_BOUND, || async {
        env.request("GET", "/look/x", "again").await.body == "done by t0"
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unannounced_leave() {
    let env = TestEnv::start(2).await;
    env.store.remove("servers", "t0");
    tokio::time::sleep(DRAIN_BOUND).await;
    let bodies = collect_bodies(&env, "a").await;
    assert!(bodies.iter().all(|body| body == "done by t1"), "{bodies:?}");
}

/// A target that registers and leaves between two reads of the store has both changes
/// in the next read, and a target that leaves and registers again as well.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_lived_targets() {
    let env = TestEnv::start(2).await;
    let short_lived = FakeTarget::start("t9").await.unwrap();
    env.targets[0].set_work_percent(500);
    register(&env.store, &short_lived, false, 1);
    env.store.remove("servers", "t9");
    env.store.remove("servers", "t1");
    register(&env.store, &env.targets[1], false, 2);
    tokio::time::sleep(DRAIN_BOUND).await;
    let bodies = collect_bodies(&env, "a").await;
    assert!(bodies.iter().all(|body| body == "done by t1"), "{bodies:?}");
}

/// A request is not run by another target that has taken over the address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reused_address() {
    let env = TestEnv::start(2).await;
    let other_target = FakeTarget::start("stranger").await.unwrap();
    let entry = other_target.make_entry(&TargetEntryValue {
        service: CART.into(),
        zone: "d1".into(),
        is_draining: false,
        born: 1,
    });
    env.store.put("servers", "gone", &entry);
    env.targets[0].set_work_percent(500);
    env.targets[1].set_work_percent(500);
    tokio::time::sleep(DRAIN_BOUND).await;
    for index in 0..6 {
        let reply = env.request("POST", "/once/x", &format!("a{index}")).await;
        assert_eq!(reply.status, 200);
    }
    assert_eq!(other_target.count_all_runs(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_entries() {
    let env = TestEnv::start(1).await;
    for (key, value) in [
        ("f1", "not json"),
        ("f2", r#"{"service":"cart","addr":7}"#),
        (
            "f3",
            r#"{"service":"cart","addr":"127.0.0.1:1","zone":"d1","slots":3,"state":"odd","cold_left":"0ms","seq":1,"born":1}"#,
        ),
    ] {
        env.store.put("servers", key, value.as_bytes());
    }
    tokio::time::sleep(DRAIN_BOUND).await;
    collect_bodies(&env, "a").await;
}

/// Returns the value of an entry with one field replaced.
fn replace_field(name: &str, value: &str) -> String {
    let fields = [
        ("service", "\"cart\""),
        ("addr", "\"127.0.0.1:1\""),
        ("zone", "\"d1\""),
        ("version", "\"v1\""),
        ("slots", "3"),
        ("state", "\"ready\""),
        ("cold_left", "\"0ms\""),
        ("seq", "1"),
        ("born", "1"),
    ];
    let fields = fields.map(|(key, default)| {
        let value = if key == name { value } else { default };
        format!("\"{key}\":{value}")
    });
    format!("{{{}}}", fields.join(","))
}

/// Entries of another writer with values that no type holds, nested without end, or under the
/// name of a running target: the daemon keeps running, follows the list, and keeps the target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entries() {
    let env = TestEnv::start(2).await;
    let nested = format!("{}{}", "[".repeat(30_000), "]".repeat(30_000));
    let mut odd = vec![
        nested.clone(),
        "{\"a\":".repeat(10_000),
        replace_field("slots", &nested),
        replace_field("unknown", "1"),
    ];
    let numbers = [
        "-1",
        "0",
        "1e400",
        "99999999999999999999999",
        "1.5",
        "null",
        "\"3\"",
    ];
    for number in numbers {
        odd.push(replace_field("slots", number));
        odd.push(replace_field("born", number));
    }
    for port in ["0", "65536", "-1", ""] {
        odd.push(replace_field("addr", &format!("\"127.0.0.1:{port}\"")));
    }
    for time in [
        "\"1e999s\"",
        "\"-5s\"",
        "\"nan\"",
        "\"99999999999999999999s\"",
        "7",
    ] {
        odd.push(replace_field("cold_left", time));
    }
    odd.push(replace_field(
        "service",
        &format!("\"{}\"", "s".repeat(200)),
    ));
    for (index, value) in odd.iter().enumerate() {
        env.store
            .put("servers", &format!("odd-{index:03}"), value.as_bytes());
    }
    env.store.put("servers", "not-utf-8", &[0xff, 0xfe, 0x00]);
    env.store.put("servers", "t1", nested.as_bytes());
    env.targets[0].set_work_percent(500);
    tokio::time::sleep(DRAIN_BOUND).await;
    for id in ["a", "b"] {
        let reply = env.request("GET", "/look/x", id).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "done by t1"));
    }
    // A full read does not remove the target either.
    env.store.compact();
    tokio::time::sleep(DRAIN_BOUND).await;
    assert_eq!(env.request("GET", "/look/x", "c").await.body, "done by t1");
    register(&env.store, &env.targets[1], true, 1);
    wait_until(DRAIN_BOUND, || async {
        env.request("GET", "/look/x", "again").await.body == "done by t0"
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn compacted_history() {
    let env = TestEnv::start(1).await;
    let late = FakeTarget::start("late").await.unwrap();
    register(&env.store, &late, false, 1);
    env.store.remove("servers", "t0");
    env.store.compact();
    wait_until(DRAIN_BOUND, || async {
        env.request("GET", "/look/x", "a").await.body == "done by late"
    })
    .await;
    assert_eq!(collect_bodies(&env, "b").await[8], "done by late");
}
