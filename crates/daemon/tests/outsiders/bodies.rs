//! Bodies that stop short of their end.

use crate::crowd::{Crowd, make_chunks, make_post_head};
use crate::env::{Env, LONG_TIMEOUT_MS, RequestLimits};
use crate::vm_process::VmLimits;

const VM: VmLimits = VmLimits {
    megabytes: 64,
    descriptors: 256,
};
const REQUESTS: RequestLimits = RequestLimits {
    head: 16 * 1024,
    body: 4 * 1024 * 1024,
    timeout_ms: LONG_TIMEOUT_MS,
};
const CHUNKED: &str = "transfer-encoding: chunked";

/// Checks a crowd of `size` requests with the given framing and body.
async fn check(name: &str, size: usize, framing: &str, body: Vec<u8>) {
    let mut env = Env::start(name, VM, REQUESTS).await;
    let parts = [make_post_head(framing), body];
    let crowd = Crowd::send(env.vm.get_callers(), size, &parts).await;
    env.check().await;
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_chunks() {
    let body = make_chunks(REQUESTS.body - 64 * 1024, 64 * 1024);
    check("large-chunks", 48, CHUNKED, body).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tiny_chunks() {
    check("tiny-chunks", 24, CHUNKED, make_chunks(128 * 1024, 1)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stated_length() {
    let framing = format!("content-length: {}", REQUESTS.body);
    check(
        "stated-length",
        48,
        &framing,
        vec![b'x'; REQUESTS.body - 64 * 1024],
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_extension() {
    let mut body = b"4;".to_vec();
    body.resize(4 * 1024 * 1024, b'e');
    check("endless-extension", 32, CHUNKED, body).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_extensions() {
    let body = format!("1;{}\r\nx\r\n", "e".repeat(1_000)).repeat(4_000);
    check("many-extensions", 32, CHUNKED, body.into_bytes()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_trailers() {
    let body = format!("0\r\n{}", "x-trailer: value\r\n".repeat(200_000));
    check("endless-trailers", 32, CHUNKED, body.into_bytes()).await;
}
