//! Metrics match the answers that callers received.

use crate::test_env::{TestEnv, put_config, register, wait_until};
use crate::workspaces::{KEY, bearer, put_workspaces, request_with};
use gentianridge_testkit::{
    CallerConnection, FakeStore, FakeTarget, GatewayVm, TargetBehavior, WorkspaceValue,
};
use std::net::SocketAddr;
use std::time::Duration;

/// Sums the samples whose line starts with the name and contains the label.
fn sum_samples(text: &str, name: &str, label: &str) -> f64 {
    text.lines()
        .filter(|line| line.starts_with(name) && line.contains(label))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

async fn get_metrics(addr: SocketAddr) -> String {
    let mut connection = CallerConnection::open(addr).await.unwrap();
    let reply = connection
        .request("GET", "/metrics", "metrics")
        .await
        .unwrap();
    assert_eq!(reply.status, 200);
    reply.body
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_match_answers() {
    let store = FakeStore::start().await.unwrap();
    put_config(&store, 1, "");
    let target = FakeTarget::start("t0").await.unwrap();
    register(&store, &target, false, 1);
    let vm = GatewayVm::start_with_metrics("vm-1", store.get_addr()).unwrap();
    vm.wait_ready().await.unwrap();
    let env = TestEnv {
        store,
        targets: vec![target],
        vm,
    };
    for index in 0..7 {
        let reply = env.request("GET", "/look/x", &format!("a{index}")).await;
        assert_eq!(reply.status, 200);
    }
    env.targets[0].set_behavior(TargetBehavior::LostAnswer);
    assert_eq!(env.request("POST", "/once/x", "b").await.status, 502);
    assert_eq!(env.request("GET", "/elsewhere", "c").await.status, 404);
    let text = get_metrics(env.vm.get_settings().metrics.unwrap()).await;
    let requests = "http_server_request_duration_seconds_count";
    assert_eq!(
        sum_samples(&text, requests, "http_response_status_code=\"200\""),
        7.0
    );
    assert_eq!(
        sum_samples(&text, requests, "http_response_status_code=\"502\""),
        1.0
    );
    assert_eq!(
        sum_samples(&text, "gentianridge_refusals_total", "code=\"3001\""),
        1.0
    );
    assert_eq!(
        sum_samples(&text, "gentianridge_refusals_total", "code=\"1001\""),
        1.0
    );
    assert_eq!(
        sum_samples(&text, "gentianridge_attempts_total", "kind=\"first\""),
        8.0
    );
    let attempts = "gentianridge_attempt_duration_seconds_count";
    assert_eq!(sum_samples(&text, attempts, "outcome=\"answered\""), 7.0);
    assert_eq!(sum_samples(&text, attempts, "outcome=\"broken\""), 1.0);
    assert_eq!(
        sum_samples(&text, "gentianridge_targets", "condition=\"active\""),
        1.0
    );
    assert_eq!(sum_samples(&text, "gentianridge_config_version", ""), 1.0);
    let opened = sum_samples(&text, "gentianridge_connections_total", "use=\"opened\"");
    assert_eq!(opened as usize, env.targets[0].count_connections());
    let calls = sum_samples(&text, "gentianridge_store_calls_total", "outcome=\"ok\"");
    assert!(calls >= 2.0, "{calls} calls");
}

/// Requests are counted by workspace, up to a bounded number of names, and no key is shown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn workspace_counters() {
    const WORKSPACES: usize = 210;
    const LABELS: usize = 200;
    let env = TestEnv::start_with(1, |settings| {
        settings.metrics = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
        settings.revoke = Some(Duration::from_secs(60));
    })
    .await;
    let names: Vec<(String, String)> = (0..WORKSPACES)
        .map(|index| (format!("w{index}"), format!("{KEY}{index}")))
        .collect();
    let keys: Vec<[&str; 1]> = names.iter().map(|(_, key)| [key.as_str()]).collect();
    let workspaces = names
        .iter()
        .zip(&keys)
        .map(|((name, _), keys)| WorkspaceValue {
            name,
            keys,
            priority: 0,
        });
    put_workspaces(&env.store, 2, &workspaces.collect::<Vec<_>>());
    wait_until(Duration::from_secs(20), || async {
        env.request("GET", "/look/x", "a").await.status == 401
    })
    .await;
    for (name, key) in &names {
        let reply = request_with(&env, &bearer(key), "/look/x", name).await;
        assert_eq!(reply.status, 200);
    }
    env.targets[0].set_behavior(TargetBehavior::LostAnswer);
    let mut caller = env.vm.open().await.unwrap();
    caller.set_key(&names[0].1);
    assert_eq!(
        caller.request("POST", "/once/x", "b").await.unwrap().status,
        502
    );
    let text = get_metrics(env.vm.get_settings().metrics.unwrap()).await;
    let counter = "gentianridge_workspace_requests_total";
    let answered = |label: &str| {
        let lines: String = text
            .lines()
            .filter(|line| line.contains("answered"))
            .map(|line| format!("{line}\n"))
            .collect();
        sum_samples(&lines, counter, &format!("workspace=\"{label}\""))
    };
    assert_eq!(answered("w0"), 1.0);
    assert_eq!(answered("other"), (WORKSPACES - LABELS) as f64);
    assert_eq!(sum_samples(&text, counter, "outcome=\"failed\""), 1.0);
    let age = sum_samples(&text, "gentianridge_config_proof_age", "");
    assert!(age > 0.0 && age < 60.0, "{age}");
    assert!(!text.contains(KEY));
}
