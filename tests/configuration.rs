//! Submission of configuration files: validation, concurrent operators, and
//! revisions that stay in force without the store.

mod common;

use common::{get, start_fleet};
use gentianridge_api::{SubmitRequest, SubmitVerdict};
use gentianridge_testkit::{Deployment, FleetOptions, LocalFleet};
use std::time::{Duration, Instant};

/// Bound on the time until a file is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(6);

fn request(name: &str, base: u64, text: &str) -> SubmitRequest {
    SubmitRequest {
        submission: name.into(),
        author: name.into(),
        base: Some(base),
        force: false,
        text: text.to_owned(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators() {
    let fleet = start_fleet(5).await;
    let text = fleet.write_file();
    let clients: Vec<_> = (0..5)
        .map(|vm| fleet.client(vm).expect("a client"))
        .collect();
    let requests: Vec<_> = (0..5)
        .map(|vm| request(&format!("op{vm}"), 1, &text))
        .collect();
    let sent = clients
        .iter()
        .zip(&requests)
        .map(|(client, request)| client.submit(request));
    let answers = futures_util::future::join_all(sent).await;
    let verdicts: Vec<_> = answers
        .into_iter()
        .map(|answer| answer.expect("an answer").verdict)
        .collect();
    let count = |wanted| {
        verdicts
            .iter()
            .filter(|verdict| **verdict == wanted)
            .count()
    };
    assert_eq!(count(SubmitVerdict::Accepted), 1, "{verdicts:?}");
    assert_eq!(count(SubmitVerdict::Overtaken), 4, "{verdicts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn faulty_file() {
    let fleet = start_fleet(1).await;
    let text = fleet.write_file().replace("kind = once", "kind = onec");
    let answer = fleet.submit(&text, None).await.expect("an answer");
    assert_eq!(answer.verdict, SubmitVerdict::Faulty);
    assert!(
        answer.details[0].contains("did you mean: once"),
        "{:?}",
        answer.details
    );
    assert_eq!(fleet.vms[0].get_revision().await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_needs_force() {
    let fleet = start_fleet(1).await;
    let text = fleet
        .write_file()
        .replace("slots = 3", "slots = 3\ndrain = yes");
    let client = fleet.client(0).expect("a client");
    let mut request = request("drain", 1, &text);
    let answer = client.submit(&request).await.expect("an answer");
    assert_eq!(answer.verdict, SubmitVerdict::NeedsForce);
    assert!(
        answer.details[0].contains("no target would get work"),
        "{:?}",
        answer.details
    );
    request.force = true;
    let answer = client.submit(&request).await.expect("an answer");
    assert_eq!(answer.verdict, SubmitVerdict::Accepted);
    let refused = get(&fleet, 0, "/recipient/open").await;
    assert_eq!(common::get_code(&refused), 2004);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_reply() {
    let fleet = start_fleet(2).await;
    fleet.platform.get_faults().lose_write_answers(1);
    let answer = fleet
        .submit(&fleet.write_file(), Some(1))
        .await
        .expect("an answer");
    assert_eq!(answer.verdict, SubmitVerdict::Accepted);
    assert_eq!(answer.revision, 2);
    fleet.wait_revision(2).await.expect("in force");
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_submission() {
    let fleet = start_fleet(1).await;
    let client = fleet.client(0).expect("a client");
    let request = request("mine", 1, &fleet.write_file());
    let first = client.submit(&request).await.expect("an answer");
    fleet
        .submit(&fleet.write_file(), None)
        .await
        .expect("a later file");
    let again = client.submit(&request).await.expect("an answer");
    assert_eq!((first.revision, again.revision), (2, 2));
    assert_eq!(
        again.verdict,
        SubmitVerdict::Accepted,
        "a repeated submission is not stored again"
    );
    assert_eq!(fleet.vms[0].get_revision().await, 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn store_down_after_acceptance() {
    let fleet = start_fleet(5).await;
    let answer = fleet
        .submit(&fleet.write_file(), None)
        .await
        .expect("an answer");
    fleet.platform.get_faults().set_down(true);
    let started = Instant::now();
    fleet
        .wait_revision(answer.revision)
        .await
        .expect("in force");
    assert!(started.elapsed() < IN_FORCE, "{:?}", started.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn new_vm_without_store() {
    let mut fleet = start_fleet(3).await;
    fleet
        .submit(&fleet.write_file(), None)
        .await
        .expect("an answer");
    fleet.wait_revision(2).await.expect("in force");
    fleet.add_vm().await.expect("a new VM");
    // The membership list is read before the table service goes down.
    tokio::time::sleep(Duration::from_millis(50)).await;
    fleet.platform.get_faults().set_down(true);
    fleet.wait_revision(2).await.expect("fetched from a peer");
    let response = get(&fleet, 3, "/recipient/open").await;
    assert_eq!(response.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn not_ready_without_file() {
    let options = FleetOptions::new(Deployment::SorteggioNero).vms(1);
    let fleet = LocalFleet::start(options).await.expect("a fleet");
    let url = format!("http://{}/readyz", fleet.vms[0].get_operators());
    let response = common::build_client()
        .get(url)
        .send()
        .await
        .expect("an answer");
    assert_eq!(response.status(), 503);
    let refused = get(&fleet, 0, "/recipient/open").await;
    assert_eq!(common::get_code(&refused), 1004);
}

#[tokio::test(flavor = "multi_thread")]
async fn many_changes() {
    let fleet = start_fleet(5).await;
    let mut slowest = Duration::ZERO;
    for index in 0..20 {
        let text = format!("# change {index}\n{}", fleet.write_file());
        let answer = fleet
            .submit_through(index % 5, &text, None)
            .await
            .expect("an answer");
        assert_eq!(answer.verdict, SubmitVerdict::Accepted);
        slowest = slowest.max(
            fleet
                .wait_revision(answer.revision)
                .await
                .expect("in force"),
        );
    }
    println!("slowest of 20 changes in force on 5 VMs after {slowest:?}");
    assert!(slowest < IN_FORCE);
}
