//! Large bodies inside the limits, alone and beside a crowd.

use crate::crowd::{Crowd, make_chunks, make_post_head};
use crate::env::{Env, LONG_TIMEOUT_MS, RequestLimits};
use crate::vm_process::VmLimits;

const MIB: usize = 1024 * 1024;

/// The largest body that the limits allow is served whole on the smallest VM.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn largest_body() {
    let vm = VmLimits {
        megabytes: 112,
        descriptors: 2_870,
    };
    let requests = RequestLimits {
        head: 16 * 1024,
        body: 64 * MIB,
        timeout_ms: LONG_TIMEOUT_MS,
    };
    let mut env = Env::start("largest-body", vm, requests).await;
    let reply = env.upload("large", requests.body).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    let body = env.target.get_body("large").unwrap();
    assert!(body == vec![b'x'; requests.body]);
    env.check().await;
}

/// A body that makes progress is served while stalled ones hold the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn beside_crowd() {
    let vm = VmLimits {
        megabytes: 64,
        descriptors: 256,
    };
    let requests = RequestLimits {
        head: 16 * 1024,
        body: 4 * MIB,
        timeout_ms: LONG_TIMEOUT_MS,
    };
    let mut env = Env::start("beside-crowd", vm, requests).await;
    let stalled = make_chunks(requests.body - 64 * 1024, 64 * 1024);
    let parts = [make_post_head("transfer-encoding: chunked"), stalled];
    let crowd = Crowd::send(env.vm.get_callers(), 48, &parts).await;
    // The crowd is judged by its progress after a second.
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    let reply = env.upload("large", requests.body).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    env.check().await;
    drop(crowd);
}
