//! Calls of a scenario and how their ends are shown.

use reqwest::{Client, Response};
use std::time::Duration;

pub(crate) async fn send_confirm(addr: std::net::SocketAddr, key: String, body: String) -> String {
    let sent = client()
        .post(format!("http://{addr}/draw/confirm"))
        .header("idempotency-key", key)
        .body(body)
        .send()
        .await;
    show(sent).await
}

/// Shows status, code, run state and whether the answer is whole.
pub(crate) async fn show(sent: reqwest::Result<Response>) -> String {
    let Ok(response) = sent else {
        return "no answer".to_owned();
    };
    let text = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let mut shown = response.status().as_u16().to_string();
    for name in ["gentianridge-code", "gentianridge-run"] {
        let value = text(name);
        if !value.is_empty() {
            shown.push(' ');
            shown.push_str(&value);
        }
    }
    if !text("gentianridge-replayed").is_empty() {
        shown.push_str(" replayed");
    }
    if response.bytes().await.is_err() {
        shown.push_str(" cut");
    }
    shown
}

pub(crate) fn client() -> Client {
    Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(20))
        .retry(reqwest::retry::never())
        .build()
        .expect("the client is built")
}
