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

/// Most bytes that the daemon and the system's buffers take of one answer without end, while
/// its caller reads nothing.
const MOST_TAKEN: usize = 16 * 1024 * 1024;

/// Checks that the daemon has ended the answers that have ended so far soon enough.
fn check_sent(env: &Env) {
    let sent = env.target.take_endless_bytes();
    println!("{sent} bytes of one answer");
    assert!(sent <= MOST_TAKEN, "{sent} bytes of one answer");
}

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
        check_sent(&env);
    }
    env.target.set_behavior(TargetBehavior::Normal);
    tokio::time::sleep(Duration::from_millis(REQUESTS.timeout_ms)).await;
    check_sent(&env);
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

/// Guards against a connection to a target that occupies the process for as long as the
/// target has bytes to read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn full_to_idempotent() {
    check("endless-full-get", EndlessPace::Full, make_get()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn full_to_once() {
    let post = make_post_head("content-length: 0");
    check("endless-full-post", EndlessPace::Full, post).await;
}

/// Bodies without end that their callers read leave room for the requests of others.
async fn check_readers(name: &str, request: Vec<u8>) {
    let mut env = Env::start(name, VM, REQUESTS).await;
    for part in [EndlessPart::Chunks, EndlessPart::UnframedBody] {
        let pace = EndlessPace::Full;
        let endless = Endless { part, pace };
        env.target.set_behavior(TargetBehavior::Endless(endless));
        let parts = std::slice::from_ref(&request);
        let crowd = Crowd::send(env.vm.get_callers(), CALLERS, parts).await;
        let _readers = crowd.read_answers();
        env.check_bystander(BYSTANDER_REQUESTS, BYSTANDER_PAUSE)
            .await;
        env.vm.check_limits();
    }
    env.target.set_behavior(TargetBehavior::Normal);
    tokio::time::sleep(Duration::from_millis(REQUESTS.timeout_ms)).await;
    env.check().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn readers_of_idempotent() {
    check_readers("endless-read-get", make_get()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn readers_of_once() {
    let post = make_post_head("content-length: 0");
    check_readers("endless-read-post", post).await;
}

/// Plays all parts in place of answers to load requests, which each request causes.
async fn check_health(name: &str, pace: EndlessPace) {
    let mut env = Env::start(name, VM, REQUESTS).await;
    for part in EndlessPart::ALL {
        println!("{part:?}");
        env.target.set_endless_health(Some(Endless { part, pace }));
        for index in 0..CALLERS {
            let reply = env.request("GET", "/look/x", &format!("{index}")).await;
            assert_eq!(reply.status, 200, "{part:?}");
        }
        env.check_bystander(BYSTANDER_REQUESTS, BYSTANDER_PAUSE)
            .await;
        env.vm.check_limits();
        check_sent(&env);
    }
    env.target.set_endless_health(None);
    env.check().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_health() {
    check_health("endless-slow-health", EndlessPace::Slow).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn full_health() {
    check_health("endless-full-health", EndlessPace::Full).await;
}

/// Heads of answers are no part of the account of memory: those whose callers read nothing
/// stay within what it leaves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_heads() {
    let vm = VmLimits {
        megabytes: 64,
        descriptors: 2_048,
    };
    let mut env = Env::start("large-heads", vm, REQUESTS).await;
    let line = format!("x-more: {}\r\n", "x".repeat(1_000));
    env.target.set_request_headers(&line.repeat(56));
    let crowd = Crowd::send(env.vm.get_callers(), 800, &[make_get()]).await;
    assert!(crowd.count() > 0);
    tokio::time::sleep(Duration::from_millis(REQUESTS.timeout_ms)).await;
    env.vm.check_limits();
    env.target.set_request_headers("");
    env.check().await;
}
