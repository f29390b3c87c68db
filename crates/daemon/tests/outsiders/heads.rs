//! Request heads that stop short of their end.

use crate::crowd::{Crowd, make_get};
use crate::env::{Env, LONG_TIMEOUT_MS, RequestLimits};
use crate::vm_process::VmLimits;

const VM: VmLimits = VmLimits {
    megabytes: 64,
    descriptors: 768,
};
const REQUESTS: RequestLimits = RequestLimits {
    head: 256 * 1024,
    body: 1_000,
    timeout_ms: LONG_TIMEOUT_MS,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_heads() {
    let mut env = Env::start("heads", VM, REQUESTS).await;
    let mut head = make_get();
    head.truncate(head.len() - 2);
    head.extend_from_slice(b"x-long: ");
    head.resize(REQUESTS.head - 1_024, b'x');
    let crowd = Crowd::send(env.vm.get_callers(), 400, &[head]).await;
    env.check().await;
    drop(crowd);
}
