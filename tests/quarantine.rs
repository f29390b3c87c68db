//! Quarantine of a request that crashes every target that runs it.

mod common;

use common::{get, get_code, start_fleet, wait_for};
use std::time::Duration;

#[tokio::test(flavor = "multi_thread")]
async fn two_targets_lost() {
    let fleet = start_fleet(3).await;
    for target in &fleet.targets[0] {
        target.get_faults().crash_on(Some("bad"));
    }
    let mut codes = Vec::new();
    for vm in 0..3 {
        for _ in 0..4 {
            codes.push(get_code(&get(&fleet, vm, "/recipient/open?bad").await));
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }
    let lost = fleet.targets[0]
        .iter()
        .filter(|target| target.get_faults().is_crashed());
    assert!(
        lost.count() <= 2,
        "the first attempt and one retry: {codes:?}"
    );
    assert_eq!(codes.last(), Some(&3003));
    let others = get(&fleet, 1, "/recipient/open?good").await;
    assert_eq!(others.status(), 200, "other requests are served");
}

#[tokio::test(flavor = "multi_thread")]
async fn fleet_wide_quarantine() {
    let fleet = start_fleet(3).await;
    for target in &fleet.targets[0] {
        target.get_faults().crash_on(Some("bad"));
    }
    get(&fleet, 0, "/recipient/open?bad").await;
    wait_for(
        "the quarantine on another VM",
        Duration::from_secs(2),
        async || {
            let status = fleet
                .client(2)
                .expect("a client")
                .status()
                .await
                .expect("a status");
            status.quarantined.len() == 1
        },
    )
    .await;
    let lost = fleet.targets[0]
        .iter()
        .filter(|target| target.get_faults().is_crashed());
    assert_eq!(lost.count(), 2);
    assert_eq!(get_code(&get(&fleet, 2, "/recipient/open?bad").await), 3003);
}

#[tokio::test(flavor = "multi_thread")]
async fn lifted_by_file() {
    let fleet = start_fleet(1).await;
    for target in &fleet.targets[0] {
        target.get_faults().crash_on(Some("bad"));
    }
    get(&fleet, 0, "/recipient/open?bad").await;
    let status = fleet
        .client(0)
        .expect("a client")
        .status()
        .await
        .expect("a status");
    let fingerprint = status
        .quarantined
        .first()
        .expect("the request is quarantined")
        .clone();
    for target in &fleet.targets[0] {
        target.get_faults().crash_on(None);
    }
    let text = fleet
        .write_file()
        .replace("[fleet]", &format!("[fleet]\nrelease = {fingerprint}"));
    fleet.submit(&text, None).await.expect("an answer");
    fleet.wait_revision(2).await.expect("in force");
    assert_eq!(get(&fleet, 0, "/recipient/open?bad").await.status(), 200);
}
