//! Planned and unplanned leaves of targets and VMs.

mod common;

use common::{get, get_addr, start_fleet, wait_for};
use gentianridge_testkit::{
    CallOutcome, CallPlan, CallResult, Deployment, FleetOptions, LocalFleet, run_calls,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bound on the time until a leaving target gets no new work.
const NO_NEW_WORK: Duration = Duration::from_secs(3);

fn plan_steady_load(seconds: u64, per_second: u64) -> Vec<CallPlan> {
    CallPlan::at_constant_rate("open", "/recipient/open", seconds * per_second, per_second)
}

fn get_failed(results: &[CallResult]) -> Vec<&CallResult> {
    results
        .iter()
        .filter(|result| result.outcome != CallOutcome::Answered)
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn announced_leave() {
    let fleet = start_fleet(5).await;
    let load = tokio::spawn(run_calls(plan_steady_load(6, 300), fleet.get_callers()));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let leaving = &fleet.targets[0][0];
    leaving.get_faults().set_leaving(true);
    let announced = Instant::now();
    let results = load.await.expect("the load ends");
    assert!(
        get_failed(&results).is_empty(),
        "{:?}",
        get_failed(&results)
    );
    let last = leaving
        .get_last_request()
        .expect("the target received a request");
    let took = last.saturating_duration_since(announced);
    println!("last new work {took:?} after the announcement");
    assert!(took < NO_NEW_WORK);
}

#[tokio::test(flavor = "multi_thread")]
async fn leave_without_traffic() {
    let fleet = start_fleet(5).await;
    let leaving = &fleet.targets[1][0];
    leaving.get_faults().set_leaving(true);
    // The service gets no calls, so the VMs detect the leave by probes.
    wait_for("the leave on all VMs", Duration::from_secs(8), async || {
        let mut count = 0;
        for vm in 0..5 {
            let status = fleet
                .client(vm)
                .expect("a client")
                .status()
                .await
                .expect("a status");
            let target = &status.services[1].targets[0];
            count += usize::from(target.condition == gentianridge_core::TargetCondition::Leaving);
        }
        count == 5
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cancelled_leave() {
    let fleet = start_fleet(3).await;
    let target = &fleet.targets[0][0];
    target.get_faults().set_leaving(true);
    let load = tokio::spawn(run_calls(plan_steady_load(12, 100), fleet.get_callers()));
    tokio::time::sleep(Duration::from_secs(2)).await;
    target.get_faults().set_leaving(false);
    let before = target.count_requests();
    load.await.expect("the load ends");
    assert!(
        target.count_requests() > before,
        "a target that cancelled its leave gets work again"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop() {
    let mut fleet = start_fleet(3).await;
    let stopping = get_addr(&fleet, 0);
    let pulls: Vec<_> = (0..3)
        .map(|index| {
            let url = format!("http://{stopping}/past/history?n={index}");
            tokio::spawn(async move { common::build_client().get(url).send().await?.text().await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let vm = fleet.vms.remove(0);
    vm.stop().await.expect("the stop ends");
    for pull in pulls {
        let text = pull.await.expect("the task ends").expect("a complete pull");
        assert!(text.starts_with("/past/history"));
    }
}

/// Guards against calls that arrive during a stop, take longer than the time left and are
/// cut off without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn late_call() {
    let options = FleetOptions {
        stop_grace: Duration::from_millis(1_500),
        ..FleetOptions::new(Deployment::SorteggioNero).vms(1)
    };
    let mut fleet = LocalFleet::start_ready(options).await.expect("a fleet");
    for target in fleet.targets.iter().flatten() {
        target.get_faults().set_delay(Duration::from_secs(8));
    }
    let stopping = get_addr(&fleet, 0);
    let vm = fleet.vms.remove(0);
    let stop = tokio::spawn(vm.stop());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let calls = (0..3).map(|index| {
        let url = format!("http://{stopping}/past/history?n={index}");
        tokio::spawn(common::build_client().get(url).send())
    });
    for call in calls.collect::<Vec<_>>() {
        let answer = call.await.expect("the task ends").expect("an answer");
        let code = common::get_code(&answer);
        assert!(matches!(code, 1005 | 3002), "{code}");
    }
    stop.await.expect("the task ends").expect("the stop ends");
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_closes_claims() {
    let mut fleet = start_fleet(2).await;
    fleet
        .platform
        .get_faults()
        .set_latency(Duration::from_millis(100));
    let first = common::confirm(&fleet, 0, "k1", "group=1").await;
    assert_eq!(first.status(), 200);
    fleet.vms.remove(0).stop().await.expect("the stop ends");
    let again = common::confirm(&fleet, 0, "k1", "group=1").await;
    assert_eq!(
        common::get_header(&again, "gentianridge-replayed"),
        "1",
        "the claim was closed before the VM stopped"
    );
}

/// Sends calls to the VMs in `addrs` in turn, as a balancer in front of them does.
async fn balanced_load(
    addrs: Arc<parking_lot::RwLock<Vec<SocketAddr>>>,
    seconds: u64,
) -> (u64, Vec<String>) {
    let client = common::build_client();
    let started = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    let mut index = 0_u64;
    while started.elapsed() < Duration::from_secs(seconds) {
        let addr = {
            let addrs = addrs.read();
            addrs[index as usize % addrs.len()]
        };
        let client = client.clone();
        let path = format!("/recipient/open?n={index}");
        calls.spawn(async move {
            let sent = client.get(format!("http://{addr}{path}")).send().await;
            match sent {
                Ok(response) if response.status() == 200 => match response.text().await {
                    Ok(text) if text.starts_with(&path) => None,
                    other => Some(format!("{path}: {other:?}")),
                },
                other => Some(format!("{path}: {other:?}")),
            }
        });
        index += 1;
        tokio::time::sleep(Duration::from_millis(4)).await;
    }
    let failures = calls.join_all().await.into_iter().flatten().collect();
    (index, failures)
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement() {
    let mut fleet = start_fleet(5).await;
    let addrs = Arc::new(parking_lot::RwLock::new(fleet.get_callers().to_vec()));
    let load = tokio::spawn(balanced_load(addrs.clone(), 9));
    tokio::time::sleep(Duration::from_millis(500)).await;
    for _ in 0..5 {
        fleet.add_vm().await.expect("a new VM");
        fleet
            .wait_revision(1)
            .await
            .expect("the new VM has the file");
        let old = fleet.vms.remove(0);
        let gone = old.get_callers();
        let stop = tokio::spawn(old.stop());
        // The balancer detects within the notice time that the VM is not ready.
        tokio::time::sleep(Duration::from_millis(100)).await;
        *addrs.write() = fleet.get_callers().to_vec();
        assert!(!addrs.read().contains(&gone));
        stop.await.expect("the task ends").expect("the stop ends");
        fleet.update_members();
    }
    let (calls, failures) = load.await.expect("the load ends");
    println!(
        "{calls} calls while 5 VMs were replaced, {} failed",
        failures.len()
    );
    assert!(failures.is_empty(), "{failures:?}");
}

async fn count_live_peers(fleet: &LocalFleet, vm: usize) -> usize {
    let status = fleet
        .client(vm)
        .expect("a client")
        .status()
        .await
        .expect("a status");
    status
        .peers
        .iter()
        .filter(|peer| peer.state == "live")
        .count()
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_vms() {
    let mut fleet = start_fleet(5).await;
    wait_for(
        "the state live of all four peers",
        Duration::from_secs(3),
        async || count_live_peers(&fleet, 4).await == 4,
    )
    .await;
    for _ in 0..2 {
        fleet.vms.remove(0).kill();
    }
    let lost = Instant::now();
    let response = get(&fleet, 0, "/recipient/open").await;
    assert_eq!(response.status(), 200);
    wait_for(
        "the detection of the loss",
        Duration::from_secs(2),
        async || count_live_peers(&fleet, 0).await == 2,
    )
    .await;
    println!("loss of two VMs detected after {:?}", lost.elapsed());
    assert!(lost.elapsed() < Duration::from_millis(1_500));
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_targets() {
    let fleet = start_fleet(3).await;
    let load = tokio::spawn(run_calls(plan_steady_load(6, 300), fleet.get_callers()));
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    for target in fleet.targets[0].iter().step_by(3) {
        target.kill();
    }
    let results = load.await.expect("the load ends");
    let late: Vec<_> = get_failed(&results)
        .into_iter()
        .filter(|result| result.at > Duration::from_millis(2_500))
        .collect();
    println!(
        "{} of {} calls failed, {} after 500 ms",
        get_failed(&results).len(),
        results.len(),
        late.len()
    );
    assert!(late.len() * 1_000 < results.len(), "{late:?}");
}
