//! The balancer's question whether this VM takes connections.

use super::state::Gateway;
use gentianridge_adapter::READY_PATH;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers questions for readiness until the task is dropped.
pub(crate) async fn run_ready(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a question for readiness: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let response = answer(&gateway, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("a connection for readiness ended: {error}");
            }
        });
    }
}

fn answer(gateway: &Gateway, request: &http::Request<Incoming>) -> http::Response<Full<Bytes>> {
    let status = if request.uri().path() != READY_PATH {
        StatusCode::NOT_FOUND
    } else if gateway.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let mut response = http::Response::new(Full::default());
    *response.status_mut() = status;
    response
}
