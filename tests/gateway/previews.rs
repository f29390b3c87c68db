//! Previews of requests at the metrics address of a daemon.

use crate::test_env::{TestEnv, put_config, register};
use gentianridge_api::{PREVIEW_PATH, PreviewAnswer, PreviewOutcome, PreviewRequest};
use gentianridge_testkit::{FakeStore, FakeTarget, GatewayVm};

async fn start() -> TestEnv {
    let store = FakeStore::start().await.unwrap();
    put_config(&store, 1, "");
    let target = FakeTarget::start("t0").await.unwrap();
    register(&store, &target, false, 1);
    let vm = GatewayVm::start_with_metrics("vm-1", store.get_addr()).unwrap();
    vm.wait_ready().await.unwrap();
    TestEnv {
        store,
        targets: vec![target],
        vm,
    }
}

async fn fetch(env: &TestEnv, path: &str, body_bytes: u64) -> PreviewAnswer {
    let request = PreviewRequest {
        method: "GET".into(),
        host: "shop.example".into(),
        path: path.into(),
        workspace: None,
        body_bytes,
        deadline_ms: Some(2_000),
    };
    let addr = env.vm.get_settings().metrics.unwrap();
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let response = client
        .post(format!("http://{addr}{PREVIEW_PATH}"))
        .json(&request)
        .send()
        .await
        .unwrap();
    response.json().await.unwrap()
}

/// Nothing reaches a target, and the request that follows gets what was said.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_sent() {
    let env = start().await;
    let answer = fetch(&env, "/look/x", 0).await;
    assert_eq!(answer.vm, "vm-1");
    assert_eq!(answer.route.as_deref(), Some("look"));
    assert_eq!(answer.candidates.len(), 1);
    assert_eq!(answer.candidates[0].obstacle, None);
    assert!(
        matches!(
            answer.outcome,
            PreviewOutcome::Sent { .. } | PreviewOutcome::Sampled
        ),
        "{:?}",
        answer.outcome
    );
    assert!(env.targets[0].get_arrivals().is_empty());
    assert_eq!(env.request("GET", "/look/x", "a").await.status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn early_refusals() {
    let env = start().await;
    let unknown = fetch(&env, "/elsewhere", 0).await;
    assert_eq!(unknown.outcome, PreviewOutcome::Refused { code: 1001 });
    assert_eq!(env.request("GET", "/elsewhere", "a").await.status, 404);
    let large = fetch(&env, "/look/x", 1_001).await;
    assert_eq!(large.outcome, PreviewOutcome::Refused { code: 1007 });
}
