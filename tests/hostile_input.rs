//! Malformed input from callers, targets and peers.

mod common;

use common::{build_client, get, get_addr, start_fleet};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SEED: u64 = 11;

async fn send_raw(addr: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut answer = Vec::new();
    let Ok(mut stream) = TcpStream::connect(addr).await else {
        return answer;
    };
    if stream.write_all(bytes).await.is_ok() {
        // A connection that closes without an answer is an accepted outcome.
        let _ =
            tokio::time::timeout(Duration::from_millis(200), stream.read_to_end(&mut answer)).await;
    }
    answer
}

#[tokio::test(flavor = "multi_thread")]
async fn random_caller_bytes() {
    let fleet = start_fleet(1).await;
    let mut rng = Pcg32::seed_from_u64(SEED);
    let request = b"GET /recipient/open HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nab";
    for _ in 0..60 {
        let mut bytes = request.to_vec();
        for _ in 0..rng.random_range(1..6) {
            let at = rng.random_range(0..bytes.len());
            bytes[at] = rng.next_u32() as u8;
        }
        bytes.truncate(rng.random_range(1..=bytes.len()));
        send_raw(get_addr(&fleet, 0), &bytes).await;
    }
    assert_eq!(get(&fleet, 0, "/recipient/open").await.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_head() {
    let fleet = start_fleet(1).await;
    let long = format!(
        "GET /recipient/{} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
        "x".repeat(20_000)
    );
    let answer = send_raw(get_addr(&fleet, 0), long.as_bytes()).await;
    assert!(
        answer.starts_with(b"HTTP/1.1 4"),
        "{}",
        String::from_utf8_lossy(&answer)
    );
    let headers = "x-a: b\r\n".repeat(200_000);
    let many = format!("GET /recipient/open HTTP/1.1\r\nhost: a\r\n{headers}\r\n");
    send_raw(get_addr(&fleet, 0), many.as_bytes()).await;
    assert_eq!(get(&fleet, 0, "/recipient/open").await.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn random_peer_bytes() {
    let fleet = start_fleet(2).await;
    let mut rng = Pcg32::seed_from_u64(SEED);
    let peers = fleet.vms[0].get_peers();
    for _ in 0..60 {
        let length = rng.random_range(1..200_usize);
        let mut bytes = (length as u32).to_be_bytes().to_vec();
        bytes.extend((0..length).map(|_| rng.next_u32() as u8));
        send_raw(peers, &bytes).await;
    }
    send_raw(peers, &u32::MAX.to_be_bytes()).await;
    assert_eq!(get(&fleet, 0, "/recipient/open").await.status(), 200);
    let url = format!("http://{}/metrics", fleet.vms[0].get_operators());
    let metrics = common::build_client()
        .get(url)
        .send()
        .await
        .expect("an answer")
        .text()
        .await
        .expect("a text");
    let line = metrics
        .lines()
        .find(|line| line.starts_with("gentianridge_peer_faults_total"));
    let count: f64 = line
        .and_then(|line| line.rsplit(' ').next())
        .and_then(|number| number.parse().ok())
        .unwrap_or(0.0);
    assert!(count >= 50.0, "dropped messages are counted: {line:?}");
}

/// A backend server that answers every request with the same bytes.
async fn start_malformed_target(bytes: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                while stream.read(&mut buf).await.is_ok_and(|size| size > 0) {
                    if stream.write_all(bytes).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_answers() {
    let fleet = start_fleet(1).await;
    let answers: [&'static [u8]; 5] = [
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 7\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 999 Odd\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nendpoint-load-metrics: TEXT named_metrics.in_flight=NaN,,==\r\ncontent-length: 2\r\n\r\nok",
    ];
    for (index, bytes) in answers.into_iter().enumerate() {
        let addr = start_malformed_target(bytes).await;
        let text = format!(
            "[fleet]\n[service odd]\npath = /odd\n[class odd.all]\npath = /odd\nkind = interactive\n\
             deadline = 1s\n[target odd.o]\naddress = {addr}\ndomain = d\nslots = 1\n"
        );
        let answer = fleet.submit(&text, None).await.expect("an answer");
        fleet
            .wait_revision(answer.revision)
            .await
            .expect("in force");
        // Each path is another request, since a request that fails twice is quarantined.
        let url = format!("http://{}/odd/{index}", get_addr(&fleet, 0));
        let Ok(response) = build_client().get(url).send().await else {
            // The answer broke off before its head had left.
            continue;
        };
        let status = response.status().as_u16();
        let body = response.bytes().await;
        println!("answer {index}: {status}, {body:?}");
        let is_visible = status >= 400 || body.is_err() || status == 200 && index == 4;
        assert!(
            is_visible,
            "answer {index} was delivered as {status} {body:?}"
        );
    }
}

/// Guards against an answer that no protocol allows, such as one with status 000: a caller must
/// not get it as an answer.
#[tokio::test(flavor = "multi_thread")]
async fn odd_statuses() {
    let fleet = start_fleet(1).await;
    let answers: [&'static [u8]; 7] = [
        b"HTTP/1.1 000 Odd\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 099 Odd\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 101 Odd\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 600 Odd\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 999 Odd\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 1000 Odd\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 2x0 Odd\r\ncontent-length: 0\r\n\r\n",
    ];
    for (index, bytes) in answers.into_iter().enumerate() {
        let addr = start_malformed_target(bytes).await;
        let text = format!(
            "[fleet]\n[service odd]\npath = /odd\n[class odd.all]\npath = /odd\nkind = interactive\n\
             deadline = 1s\n[target odd.o]\naddress = {addr}\ndomain = d\nslots = 1\n"
        );
        let submitted = fleet.submit(&text, None).await.expect("an answer");
        let in_force = fleet.wait_revision(submitted.revision).await;
        in_force.expect("the revision is in force");
        // Each path is another request, since a request that fails twice is quarantined.
        let response = get(&fleet, 0, &format!("/odd/{index}")).await;
        let status = response.status().as_u16();
        assert!((500..600).contains(&status), "answer {index}: {status}");
    }
}

const TRUNCATED_ANSWER: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 5\r\n\r\nhello";
const TRUNCATED_HEAD_SIZE: usize = TRUNCATED_ANSWER.len() - 5;

/// A backend server that sends one byte more of its answer's head to each request, and
/// closes. Returns its address and the number of requests.
async fn start_truncating_target() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let addr = listener.local_addr().expect("an address");
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = requests.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4096];
            if stream.read(&mut buf).await.is_ok_and(|size| size > 0) {
                let size = counter.fetch_add(1, Ordering::Relaxed) % TRUNCATED_HEAD_SIZE;
                // The connection closes in any case.
                let _ = stream.write_all(&TRUNCATED_ANSWER[..size]).await;
            }
        }
    });
    (addr, requests)
}

/// Guards against a target that stops in the middle of its answer's head and closes: the
/// caller must not get an answer that looks complete.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_head() {
    let fleet = start_fleet(1).await;
    let (addr, requests) = start_truncating_target().await;
    let text = format!(
        "[fleet]\n[service odd]\npath = /odd\n[class odd.all]\npath = /odd\nkind = interactive\n\
         deadline = 1s\n[target odd.o]\naddress = {addr}\ndomain = d\nslots = 1\n"
    );
    let answer = fleet.submit(&text, None).await.expect("an answer");
    let in_force = fleet.wait_revision(answer.revision).await;
    in_force.expect("the revision is in force");
    let started = Instant::now();
    let mut index = 0;
    while requests.load(Ordering::Relaxed) < TRUNCATED_HEAD_SIZE {
        // Each path is another request, since a request that fails twice is quarantined.
        let response = get(&fleet, 0, &format!("/odd/{index}")).await;
        let status = response.status().as_u16();
        assert!(
            status >= 400,
            "answered {status} {:?}",
            response.bytes().await
        );
        index += 1;
        assert!(
            started.elapsed() < Duration::from_secs(20),
            "the target gets too few requests"
        );
    }
}

/// Starts a target in a thread of its own that answers each request by `answer`.
fn start_target_thread(answer: fn(&mut std::net::TcpStream) -> std::io::Result<()>) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a socket");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut stream = stream;
                let mut buf = [0; 4096];
                while matches!(std::io::Read::read(&mut stream, &mut buf), Ok(1..)) {
                    if answer(&mut stream).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

fn send_endless_interim(stream: &mut std::net::TcpStream) -> std::io::Result<()> {
    let block = b"HTTP/1.1 103 x\r\n\r\n".repeat(4_096);
    loop {
        std::io::Write::write_all(stream, &block)?;
    }
}

fn send_sound(stream: &mut std::net::TcpStream) -> std::io::Result<()> {
    std::io::Write::write_all(stream, b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello")
}

/// Deadline of the calls of the other service.
const SOUND_DEADLINE: Duration = Duration::from_secs(1);

/// Guards against a target that sends interim answers without end: callers of another service
/// are served meanwhile, on a VM with one processor.
#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn endless_interim_answers() {
    let fleet = start_fleet(1).await;
    let odd = start_target_thread(send_endless_interim);
    let sound = start_target_thread(send_sound);
    let text = format!(
        "[fleet]\n[service odd]\npath = /odd\n[class odd.all]\npath = /odd\nkind = interactive\n\
         deadline = 3s\n[target odd.o]\naddress = {odd}\ndomain = d\nslots = 3\n\
         [service sound]\npath = /sound\n[class sound.all]\npath = /sound\nkind = interactive\n\
         deadline = {}ms\n[target sound.s]\naddress = {sound}\ndomain = d\nslots = 3\n",
        SOUND_DEADLINE.as_millis()
    );
    let submitted = fleet.submit(&text, None).await.expect("an answer");
    let in_force = fleet.wait_revision(submitted.revision).await;
    in_force.expect("the revision is in force");
    for index in 0..3 {
        let url = format!("http://{}/odd/{index}", get_addr(&fleet, 0));
        tokio::spawn(build_client().get(url).send());
    }
    for index in 0..20 {
        let started = Instant::now();
        let response = get(&fleet, 0, &format!("/sound/{index}")).await;
        let took = started.elapsed();
        println!("{index}: {} after {took:?}", response.status());
        assert_eq!(response.status(), 200, "request {index}");
        assert!(took < SOUND_DEADLINE * 2, "request {index} took {took:?}");
    }
}
