//! Targets that come, go and are replaced.

use crate::site::{Site, eventually, register};
use gentianridge_testkit::{CART, FakeTarget, TargetEntryValue};
use std::time::Duration;

/// Bound of the platform on the work of a leaving target.
const DRAIN: Duration = Duration::from_secs(2);

/// Asks some times and returns who answered.
async fn ask_some(site: &Site, prefix: &str) -> Vec<String> {
    let mut bodies = Vec::new();
    for index in 0..9 {
        let reply = site
            .request("GET", "/look/x", &format!("{prefix}{index}"))
            .await;
        assert_eq!(reply.status, 200);
        bodies.push(reply.body);
    }
    bodies
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announced_leave() {
    let site = Site::start(2).await;
    register(&site.store, &site.targets[0], true, 1);
    tokio::time::sleep(DRAIN).await;
    let bodies = ask_some(&site, "a").await;
    assert!(bodies.iter().all(|body| body == "done by t1"), "{bodies:?}");
    register(&site.store, &site.targets[0], false, 2);
    site.targets[1].set_work_percent(500);
    eventually(DRAIN, || async {
        site.request("GET", "/look/x", "again").await.body == "done by t0"
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unannounced_leave() {
    let site = Site::start(2).await;
    site.store.remove("servers", "t0");
    tokio::time::sleep(DRAIN).await;
    let bodies = ask_some(&site, "a").await;
    assert!(bodies.iter().all(|body| body == "done by t1"), "{bodies:?}");
}

/// An address that another target has taken over never runs the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reused_address() {
    let site = Site::start(2).await;
    let stranger = FakeTarget::start("stranger").await.unwrap();
    let entry = stranger.make_entry(&TargetEntryValue {
        service: CART.into(),
        zone: "d1".into(),
        is_draining: false,
        born: 1,
    });
    site.store.put("servers", "gone", &entry);
    site.targets[0].set_work_percent(500);
    site.targets[1].set_work_percent(500);
    tokio::time::sleep(DRAIN).await;
    for index in 0..6 {
        let reply = site.request("POST", "/once/x", &format!("a{index}")).await;
        assert_eq!(reply.status, 200);
    }
    assert_eq!(stranger.count_all_runs(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forged_entries() {
    let site = Site::start(1).await;
    for (key, value) in [
        ("f1", "not json"),
        ("f2", r#"{"service":"cart","addr":7}"#),
        (
            "f3",
            r#"{"service":"cart","addr":"127.0.0.1:1","zone":"d1","slots":3,"state":"odd","cold_left":"0ms","seq":1,"born":1}"#,
        ),
    ] {
        site.store.put("servers", key, value.as_bytes());
    }
    tokio::time::sleep(DRAIN).await;
    ask_some(&site, "a").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dropped_history() {
    let site = Site::start(1).await;
    let late = FakeTarget::start("late").await.unwrap();
    register(&site.store, &late, false, 1);
    site.store.remove("servers", "t0");
    site.store.compact();
    eventually(DRAIN, || async {
        site.request("GET", "/look/x", "a").await.body == "done by late"
    })
    .await;
    assert_eq!(ask_some(&site, "b").await[8], "done by late");
}
