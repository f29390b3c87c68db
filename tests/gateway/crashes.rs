//! Requests that crash targets are quarantined on every VM; requests whose
//! answer is lost are not quarantined.

use crate::test_env::TestEnv;
use gentianridge_testkit::{CallerConnection, GatewayVm, TargetBehavior};
use std::time::Duration;

async fn request_status(vm: &GatewayVm, path: &str, id: &str) -> u16 {
    let mut caller: CallerConnection = vm.open().await.unwrap();
    caller.request("GET", path, id).await.unwrap().status
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fleet_wide_quarantine() {
    let env = TestEnv::start(6).await;
    let other = GatewayVm::start("vm-2", env.store.get_addr()).unwrap();
    other.wait_ready().await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    for target in &env.targets {
        target.set_behavior(TargetBehavior::Crash);
    }
    for index in 0..6 {
        let vm = if index % 2 == 0 { &env.vm } else { &other };
        let status = request_status(vm, "/look/poison", &format!("p{index}")).await;
        assert!(matches!(status, 502 | 503), "{status}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let runs: usize = env
        .targets
        .iter()
        .map(|target| target.count_all_runs())
        .sum();
    assert_eq!(runs, 2, "two crashes on any VMs quarantine the request");
    for target in &env.targets {
        target.set_behavior(TargetBehavior::Normal);
    }
    assert_eq!(
        request_status(&env.vm, "/look/poison", "p9").await,
        503,
        "the request is still quarantined"
    );
    for index in 0..6 {
        let status = request_status(&other, "/look/proper", &format!("q{index}")).await;
        assert_eq!(status, 200, "the remaining targets serve other requests");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers() {
    let env = TestEnv::start(3).await;
    for target in &env.targets {
        target.set_behavior(TargetBehavior::LostAnswer);
    }
    for index in 0..6 {
        assert_eq!(
            request_status(&env.vm, "/look/x", &format!("a{index}")).await,
            502
        );
    }
    for target in &env.targets {
        target.set_behavior(TargetBehavior::Normal);
    }
    assert_eq!(
        request_status(&env.vm, "/look/x", "b").await,
        200,
        "the targets are still in use"
    );
}
