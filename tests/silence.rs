//! Connections that stop responding while new connections work.

mod common;

use common::{confirm, get, start_fleet, wait_for};
use gentianridge_testkit::{CallOutcome, CallPlan, run_calls};
use std::time::{Duration, Instant};

/// `silence` in the file of the deployments.
const SILENCE: Duration = Duration::from_secs(2);

fn plan_lookups(count: u64) -> Vec<CallPlan> {
    CallPlan::at_constant_rate("open", "/recipient/open", count, 200)
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_targets() {
    let fleet = start_fleet(1).await;
    run_calls(plan_lookups(400), fleet.get_callers()).await;
    for target in &fleet.targets[0] {
        target.silence_connections();
    }
    let results = run_calls(plan_lookups(400), fleet.get_callers()).await;
    let late = results.iter().filter(|result| {
        result.outcome != CallOutcome::Answered && result.at > Duration::from_secs(1)
    });
    assert_eq!(
        late.count(),
        0,
        "new connections are used after one timeout"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn one_timeout() {
    let fleet = start_fleet(1).await;
    for _ in 0..30 {
        get(&fleet, 0, "/past/list").await;
    }
    for target in &fleet.targets[2] {
        target.silence_connections();
    }
    let started = Instant::now();
    let response = get(&fleet, 0, "/past/history?n=1").await;
    assert_eq!(response.status(), 200);
    assert!(
        started.elapsed() < SILENCE + Duration::from_secs(1),
        "{:?}",
        started.elapsed()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_store() {
    let fleet = start_fleet(2).await;
    confirm(&fleet, 0, "k0", "group=0").await;
    fleet.platform.get_faults().set_silent(true);
    let started = Instant::now();
    let response = confirm(&fleet, 0, "k1", "group=1").await;
    assert_eq!(
        common::get_header(&response, "gentianridge-run"),
        "not-run",
        "{response:?}"
    );
    assert!(
        started.elapsed() < Duration::from_millis(2_200),
        "within the deadline: {:?}",
        started.elapsed()
    );
    assert_eq!(get(&fleet, 0, "/recipient/open").await.status(), 200);
    fleet.platform.get_faults().set_silent(false);
    wait_for(
        "the return of the store",
        Duration::from_secs(5),
        async || confirm(&fleet, 0, "k2", "group=2").await.status() == 200,
    )
    .await;
    assert_eq!(
        fleet.runs.count("k1"),
        0,
        "a request that was refused as not run never runs"
    );
}
