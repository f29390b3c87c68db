//! Readiness check of the platform's balancer.

use super::state::Gateway;
use gentianridge_adapter::READY_PATH;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};

/// Answers 200 if the balancer may send connections to this VM, otherwise 503.
pub(crate) fn answer_ready(
    gateway: &Gateway,
    request: &http::Request<Incoming>,
) -> http::Response<Full<Bytes>> {
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
