//! Fleets and callers shared by the tests over loopback sockets.

#![allow(dead_code, unreachable_pub)]

use gentianridge_testkit::{Deployment, FleetOptions, LocalFleet};
use reqwest::{Client, Response};
use std::net::SocketAddr;
use std::time::Duration;

/// Starts a fleet of Sorteggio Nero and waits until its file is in force.
pub async fn start_fleet(vms: usize) -> LocalFleet {
    LocalFleet::start_ready(FleetOptions::new(Deployment::SorteggioNero).vms(vms))
        .await
        .expect("the fleet starts")
}

/// Builds an HTTP client without retries and proxies.
pub fn build_client() -> Client {
    Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(20))
        .retry(reqwest::retry::never())
        .build()
        .expect("the client is built")
}

/// Returns the address of a VM that callers connect to.
pub fn get_addr(fleet: &LocalFleet, vm: usize) -> SocketAddr {
    fleet.vms[vm].get_callers()
}

/// Sends a GET request to a VM.
pub async fn get(fleet: &LocalFleet, vm: usize, path: &str) -> Response {
    build_client()
        .get(format!("http://{}{path}", get_addr(fleet, vm)))
        .send()
        .await
        .expect("the VM answers")
}

/// Sends a confirmation with an idempotency key to a VM.
pub async fn confirm(fleet: &LocalFleet, vm: usize, key: &str, body: &str) -> Response {
    build_client()
        .post(format!("http://{}/draw/confirm", get_addr(fleet, vm)))
        .header("idempotency-key", key)
        .body(body.to_owned())
        .send()
        .await
        .expect("the VM answers")
}

/// Returns a header as text, empty if it is missing.
pub fn get_header(response: &Response, name: &str) -> String {
    response
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

/// Returns the numbered result code of a refusal, 0 if there is none.
pub fn get_code(response: &Response) -> u16 {
    get_header(response, "gentianridge-code")
        .parse()
        .unwrap_or(0)
}

/// Waits until a condition holds, and panics with `what` after `limit`.
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
