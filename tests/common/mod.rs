//! Fleets and callers shared by the tests over loopback sockets.

#![allow(dead_code, unreachable_pub)]

use gentianridge_testkit::{Deployment, FleetOptions, LocalFleet};
use reqwest::{Client, Response};
use std::net::SocketAddr;
use std::time::Duration;

/// Starts a fleet of Sorteggio Nero with its file in force.
pub async fn start(vms: usize) -> LocalFleet {
    LocalFleet::start_ready(FleetOptions::new(Deployment::SorteggioNero).vms(vms))
        .await
        .expect("the fleet starts")
}

/// Returns a caller that keeps no retries and no proxies.
pub fn caller() -> Client {
    Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(20))
        .retry(reqwest::retry::never())
        .build()
        .expect("the client is built")
}

/// Returns the address for callers of a VM.
pub fn addr(fleet: &LocalFleet, vm: usize) -> SocketAddr {
    fleet.vms[vm].get_callers()
}

/// Asks for a path at a VM.
pub async fn get(fleet: &LocalFleet, vm: usize, path: &str) -> Response {
    caller()
        .get(format!("http://{}{path}", addr(fleet, vm)))
        .send()
        .await
        .expect("the VM answers")
}

/// Confirms a draw with a key at a VM.
pub async fn confirm(fleet: &LocalFleet, vm: usize, key: &str, body: &str) -> Response {
    caller()
        .post(format!("http://{}/draw/confirm", addr(fleet, vm)))
        .header("idempotency-key", key)
        .body(body.to_owned())
        .send()
        .await
        .expect("the VM answers")
}

/// Returns a header as text, empty if it is missing.
pub fn header(response: &Response, name: &str) -> String {
    response
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

/// Returns the numbered result code of a refusal, 0 if there is none.
pub fn code(response: &Response) -> u16 {
    header(response, "gentianridge-code").parse().unwrap_or(0)
}

/// Waits until a condition holds and says what was waited for if it does not.
pub async fn wait_for(what: &str, limit: Duration, mut holds: impl AsyncFnMut() -> bool) {
    let started = std::time::Instant::now();
    while !holds().await {
        assert!(
            started.elapsed() < limit,
            "{what} took longer than {limit:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
