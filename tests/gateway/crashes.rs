//! Requests that crash targets are held over the fleet; lost answers are not.

use crate::site::Site;
use gentianridge_testkit::{CallerConnection, GatewayVm, TargetBehavior};
use std::time::Duration;

async fn request(vm: &GatewayVm, path: &str, id: &str) -> u16 {
    let mut caller: CallerConnection = vm.open().await.unwrap();
    caller.request("GET", path, id).await.unwrap().status
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn held_over_the_fleet() {
    let site = Site::start(6).await;
    let other = GatewayVm::start("vm-2", site.store.get_addr()).unwrap();
    other.wait_ready().await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    for target in &site.targets {
        target.set_behavior(TargetBehavior::Crash);
    }
    for index in 0..6 {
        let vm = if index % 2 == 0 { &site.vm } else { &other };
        let status = request(vm, "/look/poison", &format!("p{index}")).await;
        assert!(matches!(status, 502 | 503), "{status}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let runs: usize = site
        .targets
        .iter()
        .map(|target| target.count_all_runs())
        .sum();
    assert_eq!(runs, 2, "two crashes over the fleet hold the request");
    for target in &site.targets {
        target.set_behavior(TargetBehavior::Normal);
    }
    assert_eq!(
        request(&site.vm, "/look/poison", "p9").await,
        503,
        "it is still held"
    );
    for index in 0..6 {
        let status = request(&other, "/look/proper", &format!("q{index}")).await;
        assert_eq!(
            status, 200,
            "other requests are served by the targets that live"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers() {
    let site = Site::start(3).await;
    for target in &site.targets {
        target.set_behavior(TargetBehavior::LostAnswer);
    }
    for index in 0..6 {
        assert_eq!(
            request(&site.vm, "/look/x", &format!("a{index}")).await,
            502
        );
    }
    for target in &site.targets {
        target.set_behavior(TargetBehavior::Normal);
    }
    assert_eq!(
        request(&site.vm, "/look/x", "b").await,
        200,
        "the targets live"
    );
}
