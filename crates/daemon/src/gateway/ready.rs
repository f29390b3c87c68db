//! Readiness check of the platform's balancer.

use super::auxiliary::AuxiliaryResponse;
use super::state::Gateway;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use gentianridge_adapter::READY_PATH;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use std::rc::Rc;

/// Answers 200 if the balancer may send connections to this VM, otherwise 503.
pub(crate) fn answer_ready(
    gateway: Rc<Gateway>,
    request: http::Request<Incoming>,
) -> LocalBoxFuture<'static, AuxiliaryResponse> {
    async move {
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
    .boxed_local()
}
