//! Confirmations run at most once per idempotency key and caller.

mod common;

use common::{build_client, confirm, get_addr, get_code, get_header, start_fleet, wait_for};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[tokio::test(flavor = "multi_thread")]
async fn missing_key() {
    let fleet = start_fleet(1).await;
    let response = build_client()
        .post(format!("http://{}/draw/confirm", get_addr(&fleet, 0)))
        .send()
        .await
        .expect("an answer");
    assert_eq!(
        (response.status().as_u16(), get_code(&response)),
        (400, 4001)
    );
    assert!(fleet.runs.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn replayed_answer() {
    let fleet = start_fleet(2).await;
    let first = confirm(&fleet, 0, "k1", "group=1").await;
    let first = first.bytes().await.expect("a complete body");
    let again = confirm(&fleet, 1, "k1", "group=1").await;
    assert_eq!(get_header(&again, "gentianridge-replayed"), "1");
    assert_eq!(
        again.bytes().await.expect("a complete body"),
        first,
        "the replayed body is identical"
    );
    assert_eq!(fleet.runs.count("k1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn reused_key() {
    let fleet = start_fleet(1).await;
    confirm(&fleet, 0, "k1", "group=1").await;
    let other = confirm(&fleet, 0, "k1", "group=2").await;
    assert_eq!((other.status().as_u16(), get_code(&other)), (422, 4002));
    assert_eq!(fleet.runs.count("k1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn other_caller() {
    let fleet = start_fleet(1).await;
    for token in ["ada", "ben"] {
        let response = build_client()
            .post(format!("http://{}/draw/confirm", get_addr(&fleet, 0)))
            .header("idempotency-key", "k1")
            .bearer_auth(token)
            .body(token)
            .send()
            .await
            .expect("an answer");
        assert_eq!(
            response.status(),
            200,
            "the same key of another caller is a different key"
        );
        assert_eq!(get_header(&response, "gentianridge-replayed"), "");
    }
    assert_eq!(fleet.runs.count("k1"), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_repeats() {
    let fleet = start_fleet(5).await;
    let calls = (0..15).map(|index| confirm(&fleet, index % 5, "k1", "group=1"));
    let answers = futures_util::future::join_all(calls).await;
    assert_eq!(fleet.runs.count("k1"), 1);
    let mut bodies = Vec::new();
    for answer in answers {
        assert_eq!(answer.status(), 200, "{answer:?}");
        bodies.push(answer.bytes().await.expect("a complete body"));
    }
    assert!(bodies.iter().all(|body| *body == bodies[0]));
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_gone() {
    let fleet = start_fleet(1).await;
    let url = format!("http://{}/draw/confirm", get_addr(&fleet, 0));
    let sent = build_client()
        .post(url)
        .header("idempotency-key", "k1")
        .body("group=1")
        .timeout(Duration::from_millis(8))
        .send()
        .await;
    assert!(sent.is_err(), "the caller timed out");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let again = confirm(&fleet, 0, "k1", "group=1").await;
    assert_eq!(again.status(), 200);
    assert_eq!(
        fleet.runs.count("k1"),
        1,
        "dispatched work continues after its caller has disconnected"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_reply() {
    let fleet = start_fleet(1).await;
    fleet.platform.get_faults().lose_write_answers(1);
    let response = confirm(&fleet, 0, "k1", "group=1").await;
    assert_eq!(
        response.status(),
        200,
        "the VM reads the claim back after the lost reply"
    );
    assert_eq!(fleet.runs.count("k1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn store_down() {
    let fleet = start_fleet(1).await;
    fleet.platform.get_faults().set_down(true);
    let mut slowest = Duration::ZERO;
    for index in 0..20 {
        let started = Instant::now();
        let response = confirm(&fleet, 0, &format!("k{index}"), "group=1").await;
        assert_eq!(
            (response.status().as_u16(), get_code(&response)),
            (503, 4005)
        );
        assert_eq!(get_header(&response, "gentianridge-run"), "not-run");
        slowest = slowest.max(started.elapsed());
    }
    assert!(
        slowest < Duration::from_millis(250),
        "the slowest refusal took {slowest:?}"
    );
    assert!(fleet.runs.is_empty());
    let open = common::get(&fleet, 0, "/recipient/open").await;
    assert_eq!(
        open.status(),
        200,
        "idempotent requests are served without the store"
    );
    fleet.platform.get_faults().set_down(false);
    wait_for(
        "the return of the store",
        Duration::from_secs(5),
        async || confirm(&fleet, 0, "back", "group=1").await.status() == 200,
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_outcome() {
    let fleet = start_fleet(2).await;
    for target in &fleet.targets[1] {
        target.get_faults().crash_on(Some("confirm"));
    }
    let first = confirm(&fleet, 0, "k1", "group=1").await;
    assert_eq!((first.status().as_u16(), get_code(&first)), (504, 4004));
    assert_eq!(get_header(&first, "gentianridge-run"), "unknown");
    let requests: u64 = fleet.targets[1]
        .iter()
        .map(|target| target.count_requests())
        .sum();
    assert_eq!(
        requests, 1,
        "an attempt that may have run is never repeated"
    );
    for target in &fleet.targets[1] {
        target.get_faults().crash_on(None);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let again = confirm(&fleet, 1, "k1", "group=1").await;
    assert_eq!(
        get_code(&again),
        4004,
        "the outcome stays unknown at every VM"
    );
    assert!(fleet.runs.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_killed() {
    let mut fleet = start_fleet(2).await;
    for target in &fleet.targets[1] {
        target.get_faults().set_slow_factor(30);
    }
    let addr = get_addr(&fleet, 0);
    let lost = tokio::spawn(async move {
        build_client()
            .post(format!("http://{addr}/draw/confirm"))
            .header("idempotency-key", "k1")
            .body("group=1")
            .send()
            .await
    });
    wait_for("the start of the run", Duration::from_secs(2), async || {
        fleet.runs.count("k1") == 1
    })
    .await;
    fleet.vms.remove(0).kill();
    assert!(lost.await.expect("the task ends").is_err());
    let again = confirm(&fleet, 0, "k1", "group=1").await;
    assert_eq!(
        get_header(&again, "gentianridge-run"),
        "unknown",
        "{again:?}"
    );
    assert_eq!(fleet.runs.count("k1"), 1);
}

/// Starts a target that refuses its first request. On a connection on which it has refused
/// one, it writes the refusal once more before its next answer. Returns its address and the
/// number of requests that it ran.
async fn start_repeating_target() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let addr = listener.local_addr().expect("an address");
    let runs = Arc::new(AtomicUsize::new(0));
    let (counter, has_refused) = (runs.clone(), Arc::new(AtomicBool::new(false)));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_repeating(
                stream,
                counter.clone(),
                has_refused.clone(),
            ));
        }
    });
    (addr, runs)
}

async fn serve_repeating(
    mut stream: TcpStream,
    runs: Arc<AtomicUsize>,
    has_refused: Arc<AtomicBool>,
) {
    const REFUSAL: &[u8] =
        b"HTTP/1.1 503 Full\r\ngentianridge-run: not-run\r\ncontent-length: 0\r\n\r\n";
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";
    let mut buf = [0; 4096];
    let mut copy: &[u8] = b"";
    while stream.read(&mut buf).await.is_ok_and(|size| size > 0) {
        let answer = if has_refused.swap(true, Ordering::Relaxed) {
            runs.fetch_add(1, Ordering::Relaxed);
            [std::mem::take(&mut copy), ANSWER].concat()
        } else {
            copy = REFUSAL;
            REFUSAL.to_vec()
        };
        if stream.write_all(&answer).await.is_err() {
            return;
        }
    }
}

/// Guards against a refusal that a target writes once more on a kept connection: the next
/// confirmation would be taken for refused and run on a second target.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_refusal() {
    let fleet = start_fleet(1).await;
    let (first, first_runs) = start_repeating_target().await;
    let (second, second_runs) = start_repeating_target().await;
    let text = format!(
        "[fleet]\n[service odd]\npath = /odd\n[class odd.all]\npath = /odd\nkind = once\n\
         deadline = 2s\n[target odd.a]\naddress = {first}\ndomain = d\nslots = 1\n\
         [target odd.b]\naddress = {second}\ndomain = d\nslots = 1\n"
    );
    let answer = fleet.submit(&text, None).await.expect("an answer");
    let in_force = fleet.wait_revision(answer.revision).await;
    in_force.expect("the revision is in force");
    let mut answered = 0;
    for index in 0..4 {
        let before = first_runs.load(Ordering::Relaxed) + second_runs.load(Ordering::Relaxed);
        let response = build_client()
            .post(format!("http://{}/odd", get_addr(&fleet, 0)))
            .header("idempotency-key", format!("k{index}"))
            .send()
            .await
            .expect("an answer");
        let after = first_runs.load(Ordering::Relaxed) + second_runs.load(Ordering::Relaxed);
        assert!(
            after - before <= 1,
            "confirmation {index} ran {} times",
            after - before
        );
        let status = response.status().as_u16();
        assert!(status != 503 || after == before, "confirmation {index} ran");
        answered += u32::from(status == 200);
    }
    assert!(answered >= 3, "{answered} of 4 answered");
}
