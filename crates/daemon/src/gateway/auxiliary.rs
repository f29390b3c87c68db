//! Auxiliary HTTP servers for readiness and metrics.

use super::state::Gateway;
use futures_util::future::LocalBoxFuture;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Handler of an auxiliary server's requests.
pub(crate) type AuxiliaryHandler =
    fn(Rc<Gateway>, http::Request<Incoming>) -> LocalBoxFuture<'static, AuxiliaryResponse>;

/// Response of an auxiliary server.
pub(crate) type AuxiliaryResponse = http::Response<Full<Bytes>>;

/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers requests until the task is dropped.
pub(crate) async fn run_auxiliary(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    handler: AuxiliaryHandler,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a connection for readiness or metrics: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let response = handler(gateway.clone(), request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("a connection for readiness or metrics ended: {error}");
            }
        });
    }
}
