//! What callers are told, whatever targets do.

use crate::site::Site;
use gentianridge_testkit::TargetBehavior;
use std::time::Duration;

/// Sets what every target does.
fn set_all(site: &Site, behavior: TargetBehavior) {
    for target in &site.targets {
        target.set_behavior(behavior);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unchanged() {
    let site = Site::start(2).await;
    let reply = site.request("GET", "/look/at?x=1", "a1").await;
    assert_eq!(reply.status, 200);
    assert!(reply.body.starts_with("done by t"));
    assert_eq!(reply.get("gentianridge-attempt-id"), Some("a1"));
    assert!(reply.get("gentianridge-response-signature").is_some());
    let paths: Vec<String> = site.targets.iter().flat_map(|t| t.get_paths()).collect();
    assert_eq!(paths, ["/look/at?x=1"]);
    let left = site.targets.iter().find_map(|t| t.get_time_left("a1"));
    let left = left.unwrap();
    assert!(
        left <= Duration::from_secs(2),
        "the route's timeout bounds it: {left:?}"
    );
    assert!(left > Duration::from_millis(1_500));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_route() {
    let site = Site::start(1).await;
    assert_eq!(site.request("GET", "/elsewhere/x", "a1").await.status, 404);
    assert_eq!(site.request("GET", "/look", "a2").await.status, 404);
    assert_eq!(site.request("GET", "/look/x", "a3").await.status, 200);
}

/// A lost answer may mean that the request ran: it is repeated only if it may be.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answer() {
    let site = Site::start(2).await;
    set_all(&site, TargetBehavior::LostAnswer);
    let reply = site.request("POST", "/once/x", "once").await;
    assert_eq!(reply.status, 502, "nothing is promised");
    assert_eq!(site.count_runs("once"), 1);
    site.targets[0].set_behavior(TargetBehavior::Normal);
    for index in 0..4 {
        let id = format!("look{index}");
        let reply = site.request("GET", "/look/x", &id).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "done by t0"));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn not_run() {
    let site = Site::start(2).await;
    set_all(&site, TargetBehavior::NotRun);
    let reply = site.request("POST", "/once/x", "a1").await;
    assert_eq!(reply.status, 503, "no target ran it");
    let pause: f64 = reply.get("retry-after").unwrap().parse().unwrap();
    assert!(pause > 0.0 && pause <= 4.0 / 3.0, "{pause}");
    site.targets[1].set_behavior(TargetBehavior::Normal);
    let reply = site.request("POST", "/once/x", "a2").await;
    assert_eq!(reply.status, 200, "another target can run what was not run");
    assert_eq!(site.count_runs("a2"), 1);
}

/// Answers that are not the target's own whole one to this request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wrong_answers() {
    let site = Site::start(2).await;
    let wrong = [
        TargetBehavior::OtherId,
        TargetBehavior::Unsigned,
        TargetBehavior::TruncatedBody,
        TargetBehavior::PlainRefusal,
    ];
    for (index, behavior) in wrong.into_iter().enumerate() {
        set_all(&site, behavior);
        let id = format!("once{index}");
        let reply = site.request("POST", "/once/x", &id).await;
        assert_eq!(reply.status, 502, "{behavior:?} promises nothing");
        assert!(reply.is_complete);
        assert_eq!(site.count_runs(&id), 1, "{behavior:?}");
    }
}

/// Bytes after an answer belong to no request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_answer() {
    let site = Site::start(1).await;
    site.targets[0].set_behavior(TargetBehavior::DuplicateAnswer);
    let mut caller = site.vm.open().await.unwrap();
    for index in 0..6 {
        let id = format!("a{index}");
        let reply = caller.request("GET", "/look/x", &id).await.unwrap();
        assert_eq!(reply.status, 200);
        assert_eq!(reply.get("gentianridge-attempt-id"), Some(id.as_str()));
    }
}

/// A target that takes a request and is silent costs a repeatable request a hedge only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn mute_target() {
    let site = Site::start(3).await;
    site.targets[0].set_behavior(TargetBehavior::Silent);
    for index in 0..12 {
        let reply = site.request("GET", "/look/x", &format!("a{index}")).await;
        assert_eq!(reply.status, 200);
    }
    site.targets[1].set_behavior(TargetBehavior::Silent);
    site.targets[2].set_behavior(TargetBehavior::Silent);
    let reply = site.request("POST", "/once/x", "once").await;
    assert_eq!(
        reply.status, 504,
        "it may run, and the route's time is over"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_body() {
    let site = Site::start(1).await;
    let mut caller = site.vm.open().await.unwrap();
    let reply = caller
        .request_with_body("/once/x", "big", &"x".repeat(1_001))
        .await
        .unwrap();
    assert_eq!(reply.status, 413);
    assert_eq!(site.count_runs("big"), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gone_caller() {
    let site = Site::start(1).await;
    let target = &site.targets[0];
    target.set_work_time(Duration::from_millis(400));
    let mut look = site.vm.open().await.unwrap();
    look.send("GET", "/look/x", "look", 4_000).await.unwrap();
    let mut once = site.vm.open().await.unwrap();
    once.send("POST", "/once/x", "once", 4_000).await.unwrap();
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert_eq!(
        (target.count_runs("look"), target.count_runs("once")),
        (1, 1)
    );
    drop(look);
    drop(once);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        target.count_cancelled(),
        1,
        "the repeatable one is given up at once"
    );
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(target.count_cancelled(), 1, "the other one runs to its end");
}

/// Requests on one connection reach a sampled target on kept connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn few_connections() {
    let site = Site::start(2).await;
    let mut caller = site.vm.open().await.unwrap();
    for index in 0..40 {
        let reply = caller
            .request("POST", "/once/x", &format!("a{index}"))
            .await
            .unwrap();
        assert_eq!(reply.status, 200);
    }
    let opened: usize = site.targets.iter().map(|t| t.count_connections()).sum();
    assert!(opened <= 8, "{opened} connections for 40 requests in a row");
}

/// The target that works at its usual pace gets the requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fast_machine() {
    let site = Site::start(4).await;
    for target in &site.targets[..3] {
        target.set_work_percent(500);
    }
    for index in 0..20 {
        let reply = site.request("GET", "/look/x", &format!("a{index}")).await;
        assert_eq!(reply.body, "done by t3");
    }
}
