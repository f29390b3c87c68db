//! A target that sends bytes without end in place of answers: the process lives within its
//! memory, and callers of another service are served.

use crate::crowd::{Crowd, make_get, make_post_head};
use crate::env::{Env, RequestLimits};
use crate::vm_process::VmLimits;
use gentianridge_testkit::{Endless, EndlessPace, EndlessPart, TargetBehavior};
use std::time::Duration;

const VM: VmLimits = VmLimits {
    megabytes: 40,
    descriptors: 768,
};
const REQUESTS: RequestLimits = RequestLimits {
    head: 16 * 1024,
    body: 1_000,
    timeout_ms: 3_000,
};
/// Requests to the faulty target at the same time; its slots bound how many it gets.
const CALLERS: usize = 12;
/// Requests to the other service, one after the other on one connection.
const BYSTANDER_REQUESTS: usize = 30;
const BYSTANDER_PAUSE: Duration = Duration::from_millis(25);

/// Plays all parts one after the other in one process, with requests of one kind.
async fn check(name: &str, pace: EndlessPace, request: Vec<u8>) {
    let mut env = Env::start(name, VM, REQUESTS).await;
    for part in EndlessPart::ALL {
        println!("{part:?}");
        let endless = Endless { part, pace };
        env.target.set_behavior(TargetBehavior::Endless(endless));
        let parts = std::slice::from_ref(&request);
        let crowd = Crowd::send(env.vm.get_callers(), CALLERS, parts).await;
        assert_eq!(crowd.count(), CALLERS, "{part:?}");
        env.check_bystander(BYSTANDER_REQUESTS, BYSTANDER_PAUSE)
            .await;
        env.vm.check_limits();
    }
    env.target.set_behavior(TargetBehavior::Normal);
    tokio::time::sleep(Duration::from_millis(REQUESTS.timeout_ms)).await;
    env.check().await;
}

/// Guards against parts of an answer that keep the HTTP library's buffers alive beside the
/// account of memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_to_idempotent() {
    check("endless-slow-get", EndlessPace::Slow, make_get()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_to_once() {
    let post = make_post_head("content-length: 0");
    check("endless-slow-post", EndlessPace::Slow, post).await;
}
