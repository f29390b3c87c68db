//! A request from a caller through a daemon to a target and back.

mod common;

use common::{build_client, get, get_addr, get_code, get_header, start_fleet, wait_for};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test(flavor = "multi_thread")]
async fn complete_answer() {
    let fleet = start_fleet(2).await;
    for vm in 0..2 {
        let response = get(&fleet, vm, "/recipient/open?n=1").await;
        assert_eq!(response.status(), 200);
        assert_eq!(
            get_header(&response, "gentianridge-vm"),
            fleet.vms[vm].get_name()
        );
        let text = response.text().await.expect("a complete body");
        assert!(text.starts_with("/recipient/open?n=1 "), "{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn forwarding_headers() {
    let fleet = start_fleet(1).await;
    let response = build_client()
        .get(format!("http://{}/recipient/open", get_addr(&fleet, 0)))
        .header("x-forwarded-for", "192.0.2.1")
        .header("x-request-id", "abc")
        .header("connection", "x-hop")
        .header("x-hop", "1")
        .header("gentianridge-timeout-ms", "300")
        .send()
        .await
        .expect("an answer");
    assert_eq!(
        get_header(&response, "x-seen-forwarded-for"),
        "192.0.2.1, 127.0.0.1"
    );
    assert_eq!(get_header(&response, "x-seen-forwarded"), "for=127.0.0.1");
    assert_eq!(get_header(&response, "x-seen-request"), "abc");
    assert_eq!(get_header(&response, "x-request-id"), "abc");
    assert_eq!(
        get_header(&response, "x-seen-hop"),
        "",
        "a hop-by-hop header is not forwarded"
    );
    let remaining: u64 = get_header(&response, "x-seen-timeout")
        .parse()
        .expect("a number");
    assert!((1..=300).contains(&remaining), "{remaining} ms remain");
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_path() {
    let fleet = start_fleet(1).await;
    let response = get(&fleet, 0, "/nowhere").await;
    assert_eq!(
        (response.status().as_u16(), get_code(&response)),
        (404, 1001)
    );
    assert_eq!(get_header(&response, "gentianridge-run"), "not-run");
}

#[tokio::test(flavor = "multi_thread")]
async fn dot_segments() {
    let fleet = start_fleet(1).await;
    let mut stream = TcpStream::connect(get_addr(&fleet, 0))
        .await
        .expect("a connection");
    stream
        .write_all(b"GET /recipient/open/%2e%2e/x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .await
        .expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn large_bodies() {
    let fleet = start_fleet(1).await;
    let size = 3 << 20;
    let response = build_client()
        .post(format!("http://{}/past/history", get_addr(&fleet, 0)))
        .body(vec![b'x'; size])
        .send()
        .await
        .expect("an answer");
    // The class accepts GET only, so the request is refused before its body is read.
    assert_eq!(get_code(&response), 1001);
    let response = build_client()
        .get(format!("http://{}/past/list", get_addr(&fleet, 0)))
        .body(vec![b'x'; size])
        .send()
        .await
        .expect("an answer");
    let text = response.text().await.expect("a complete body");
    assert!(
        text.starts_with(&format!("/past/list {size} ")),
        "the target received the complete body"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_answer() {
    let fleet = start_fleet(1).await;
    for target in &fleet.targets[0] {
        target.get_faults().set_truncate_answers(true);
    }
    let response = get(&fleet, 0, "/recipient/open").await;
    assert!(
        response.bytes().await.is_err(),
        "a truncated answer is not delivered as a complete one"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_caller() {
    let fleet = start_fleet(1).await;
    let mut stream = TcpStream::connect(get_addr(&fleet, 0))
        .await
        .expect("a connection");
    stream
        .write_all(b"POST /draw/confirm HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\nidempotency-key: k\r\n\r\nab")
        .await
        .expect("sent");
    let mut answer = vec![0; 12];
    tokio::time::timeout(Duration::from_secs(15), stream.read_exact(&mut answer))
        .await
        .expect("an answer in time")
        .expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 408");
    assert!(fleet.runs.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_gone() {
    let fleet = start_fleet(1).await;
    let mut stream = TcpStream::connect(get_addr(&fleet, 0))
        .await
        .expect("a connection");
    stream
        .write_all(b"GET /past/history HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .expect("sent");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let status = fleet
        .client(0)
        .expect("a client")
        .status()
        .await
        .expect("a status");
    println!(
        "{:?}",
        status.services[2]
            .targets
            .iter()
            .map(|t| t.own)
            .collect::<Vec<_>>()
    );
    drop(stream);
    wait_for(
        "the end of the cancelled call",
        Duration::from_millis(250),
        async || {
            let status = fleet
                .client(0)
                .expect("a client")
                .status()
                .await
                .expect("a status");
            status.services[2]
                .targets
                .iter()
                .all(|target| target.own == 0)
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_token() {
    let fleet = start_fleet(1).await;
    let url = format!("http://{}/v1/status", fleet.vms[0].get_operators());
    for token in ["", "wrong", "local-operatorz"] {
        let response = build_client()
            .get(&url)
            .bearer_auth(token)
            .send()
            .await
            .expect("an answer");
        assert_eq!(response.status(), 401);
    }
    let response = build_client()
        .get(&url)
        .bearer_auth(fleet.get_token())
        .send()
        .await
        .expect("an answer");
    assert_eq!(response.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn health_and_metrics_paths() {
    let fleet = start_fleet(1).await;
    get(&fleet, 0, "/recipient/open").await;
    let base = format!("http://{}", fleet.vms[0].get_operators());
    for path in ["/livez", "/readyz"] {
        let response = build_client()
            .get(format!("{base}{path}"))
            .send()
            .await
            .expect("an answer");
        assert_eq!(response.status(), 200);
    }
    let metrics = build_client()
        .get(format!("{base}/metrics"))
        .send()
        .await
        .expect("an answer");
    let text = metrics.text().await.expect("a text");
    for name in [
        "http_server_request_duration_seconds",
        "gentianridge_calls_total",
        "gentianridge_probes",
    ] {
        assert!(text.contains(name), "{name} is missing in\n{text}");
    }
}
