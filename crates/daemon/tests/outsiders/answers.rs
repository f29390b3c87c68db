//! Callers that read nothing of their answers.

use crate::crowd::{Crowd, make_get};
use crate::env::{Env, RequestLimits};
use crate::vm_process::VmLimits;
use gentianridge_testkit::TargetBehavior;

const VM: VmLimits = VmLimits {
    megabytes: 64,
    descriptors: 768,
};
const REQUESTS: RequestLimits = RequestLimits {
    head: 16 * 1024,
    body: 1_000,
    // Answers that are forwarded are broken off then, which frees their targets.
    timeout_ms: 2_000,
};

/// Checks a crowd of `size` callers whose answers have `bytes` bytes.
async fn check(name: &str, size: usize, bytes: usize) {
    let mut env = Env::start(name, VM, REQUESTS).await;
    env.target.set_behavior(TargetBehavior::SizedBody(bytes));
    let crowd = Crowd::send(env.vm.get_callers(), size, &[make_get()]).await;
    assert!(crowd.count() > 0);
    // Time for the target to answer all of them, as far as its slots allow it.
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    env.target.set_behavior(TargetBehavior::Normal);
    env.check().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_answers() {
    check("unread-answers", 400, 240 * 1024).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_streams() {
    check("unread-streams", 200, 4 * 1024 * 1024).await;
}
