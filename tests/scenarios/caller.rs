//! Calls of a scenario and the format of their outcomes.

use reqwest::{Client, Response};
use std::time::Duration;

pub(crate) async fn send_confirm(addr: std::net::SocketAddr, key: String, body: String) -> String {
    let sent = build_client()
        .post(format!("http://{addr}/draw/confirm"))
        .header("idempotency-key", key)
        .body(body)
        .send()
        .await;
    format_outcome(sent).await
}

/// Formats the status, the result code, the run state, and whether the answer
/// was replayed or truncated.
pub(crate) async fn format_outcome(sent: reqwest::Result<Response>) -> String {
    let Ok(response) = sent else {
        return "no answer".to_owned();
    };
    let get_header = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let mut outcome = response.status().as_u16().to_string();
    for name in ["gentianridge-code", "gentianridge-run"] {
        let value = get_header(name);
        if !value.is_empty() {
            outcome.push(' ');
            outcome.push_str(&value);
        }
    }
    if !get_header("gentianridge-replayed").is_empty() {
        outcome.push_str(" replayed");
    }
    if response.bytes().await.is_err() {
        outcome.push_str(" cut");
    }
    outcome
}

pub(crate) fn build_client() -> Client {
    Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(20))
        .retry(reqwest::retry::never())
        .build()
        .expect("the client is built")
}
