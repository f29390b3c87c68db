//! Sends planned calls at their times, without waiting for earlier answers.

use super::{CallOutcome, CallPlan, CallResult};
use reqwest::{Client, Method, Response};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Limit of concurrent calls, which bounds the load.
const MAX_CALLS_IN_FLIGHT: usize = 4096;

/// Sends the calls of a plan to the addresses in round-robin order, as a balancer does.
///
/// The load is open-loop: slow answers do not delay later calls.
pub async fn run_calls(plan: Vec<CallPlan>, addrs: Arc<Vec<SocketAddr>>) -> Vec<CallResult> {
    let client = Client::builder()
        .timeout(CALL_TIMEOUT)
        .tcp_nodelay(true)
        .no_proxy()
        .retry(reqwest::retry::never())
        .build()
        .unwrap_or_default();
    let started = Instant::now();
    let next_addr = AtomicUsize::new(0);
    let in_flight = Arc::new(Semaphore::new(MAX_CALLS_IN_FLIGHT));
    let mut calls = JoinSet::new();
    for call in plan {
        tokio::time::sleep_until((started + call.at).into()).await;
        let addr = addrs[next_addr.fetch_add(1, Ordering::Relaxed) % addrs.len()];
        let client = client.clone();
        let permit = in_flight.clone().acquire_owned().await;
        calls.spawn(async move {
            let result = make_call(&client, addr, call).await;
            drop(permit);
            result
        });
    }
    calls.join_all().await
}

async fn make_call(client: &Client, addr: SocketAddr, call: CallPlan) -> CallResult {
    let url = format!("http://{addr}{}", call.path);
    let method = Method::from_bytes(call.method.as_bytes()).unwrap_or(Method::GET);
    let mut request = client.request(method, url);
    if let Some(key) = &call.key {
        request = request.header("idempotency-key", key);
    }
    if let Some(body) = &call.body {
        request = request.body(body.clone());
    }
    let started = Instant::now();
    let response = request.send().await;
    let mut result = CallResult {
        group: call.group,
        path: call.path,
        key: call.key,
        at: call.at,
        elapsed: Duration::ZERO,
        added_latency: None,
        status: 0,
        code: None,
        outcome: CallOutcome::Unknown,
        vm: None,
    };
    let mut work_us = None;
    if let Ok(response) = response {
        work_us = get_header(&response, "x-work-us").and_then(|text| text.parse().ok());
        read_response(response, &mut result).await;
    }
    result.elapsed = started.elapsed();
    result.added_latency = work_us.map(|work_us| {
        result
            .elapsed
            .saturating_sub(Duration::from_micros(work_us))
    });
    result
}

async fn read_response(response: Response, result: &mut CallResult) {
    result.status = response.status().as_u16();
    result.code = get_header(&response, "gentianridge-code").and_then(|text| text.parse().ok());
    result.vm = get_header(&response, "gentianridge-vm");
    let run_state = get_header(&response, "gentianridge-run");
    let is_success = response.status().is_success();
    let Ok(body) = response.bytes().await else {
        return;
    };
    result.outcome = match run_state.as_deref() {
        Some("not-run") => CallOutcome::NotRun,
        Some(_) => CallOutcome::Unknown,
        None if !is_success => CallOutcome::Unknown,
        None if body.starts_with(result.path.as_bytes()) => CallOutcome::Answered,
        None => CallOutcome::Wrong,
    };
}

fn get_header(response: &Response, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(ToOwned::to_owned)
}
