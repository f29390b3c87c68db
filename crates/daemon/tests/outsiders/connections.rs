//! Connections that are opened and left idle.

use crate::crowd::Crowd;
use crate::env::{Env, LONG_TIMEOUT_MS, RequestLimits};
use crate::vm_process::VmLimits;

const VM: VmLimits = VmLimits {
    megabytes: 64,
    descriptors: 256,
};
const REQUESTS: RequestLimits = RequestLimits {
    head: 16 * 1024,
    body: 1_000,
    timeout_ms: LONG_TIMEOUT_MS,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unused_connections() {
    let mut env = Env::start("unused", VM, REQUESTS).await;
    let crowd = Crowd::send(env.vm.get_callers(), 400, &[]).await;
    assert!(crowd.count() > 0);
    env.check().await;
}

/// The requests have no route, so that the daemon itself answers them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_requests() {
    let mut env = Env::start("pipelined", VM, REQUESTS).await;
    let requests = b"GET /none HTTP/1.1\r\nhost: shop.example\r\n\r\n".repeat(8_000);
    let crowd = Crowd::send(env.vm.get_callers(), 40, &[requests]).await;
    assert!(crowd.count() > 0);
    env.check().await;
}
