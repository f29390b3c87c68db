//! Routing of the operators' paths.

use super::auth::is_authorized;
use super::status::make_status;
use crate::fleet::{Fleet, submit};
use gentianridge_api::SubmitRequest;
use http::{Method, StatusCode};
use poem::{Body, Endpoint, Request, Response};
use serde::Serialize;
use std::sync::Arc;

/// Largest body of a submission in bytes, JSON encoding included.
const MAX_SUBMISSION_BYTES: usize = 4 << 20;
/// Largest number of notable requests in one list.
const MAX_LISTED_REQUESTS: usize = 20;

/// Creates the endpoint of the operators' paths.
pub(crate) fn make_operator_endpoint(fleet: Arc<Fleet>) -> impl Endpoint<Output = Response> {
    OperatorEndpoint { fleet }
}

struct OperatorEndpoint {
    fleet: Arc<Fleet>,
}

impl Endpoint for OperatorEndpoint {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/livez" => return Ok(text(StatusCode::OK, "live\n")),
            "/readyz" => return Ok(self.get_readiness()),
            "/metrics" => return Ok(text(StatusCode::OK, &self.fleet.metrics.render())),
            _ => {}
        }
        if !is_authorized(&request, &self.fleet.settings.operator_token) {
            return Ok(text(
                StatusCode::UNAUTHORIZED,
                "operator token missing or wrong\n",
            ));
        }
        Ok(self.handle(&path, request).await)
    }
}

impl OperatorEndpoint {
    fn get_readiness(&self) -> Response {
        if self.fleet.is_ready() {
            text(StatusCode::OK, "ready\n")
        } else {
            text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    async fn handle(&self, path: &str, request: Request) -> Response {
        match (request.method(), path) {
            (&Method::GET, "/v1/status") => json(&make_status(&self.fleet)),
            (&Method::GET, "/v1/timeline") => json(&self.fleet.journal.read(get_since(&request))),
            (&Method::GET, "/v1/file") => self.get_file(),
            (&Method::GET, "/v1/requests") => {
                json(&self.fleet.traces.get_notable(MAX_LISTED_REQUESTS))
            }
            (&Method::GET, path) if path.starts_with("/v1/requests/") => self.get_trace(path),
            (&Method::POST, "/v1/submissions") => self.submit(request).await,
            _ => text(
                StatusCode::NOT_FOUND,
                "no such path; see docs/OPERATORS-PATHS.md\n",
            ),
        }
    }

    fn get_file(&self) -> Response {
        match self.fleet.get_current_revision() {
            Some(current) => text(StatusCode::OK, &current.record.text),
            None => text(StatusCode::NOT_FOUND, "no revision is in force\n"),
        }
    }

    fn get_trace(&self, path: &str) -> Response {
        let name = path.trim_start_matches("/v1/requests/");
        match self.fleet.traces.find(name) {
            Some(trace) => json(&trace),
            None => text(
                StatusCode::NOT_FOUND,
                "this VM has no trace of the request\n",
            ),
        }
    }

    async fn submit(&self, mut request: Request) -> Response {
        let body = request
            .take_body()
            .into_bytes_limit(MAX_SUBMISSION_BYTES)
            .await;
        let parsed = body
            .ok()
            .and_then(|bytes| serde_json::from_slice::<SubmitRequest>(&bytes).ok());
        match parsed {
            Some(submission) => json(&submit(&self.fleet, submission).await),
            None => text(StatusCode::BAD_REQUEST, "the body is not a submission\n"),
        }
    }
}

fn get_since(request: &Request) -> u64 {
    request
        .uri()
        .query()
        .and_then(|query| query.strip_prefix("since="))
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

fn text(status: StatusCode, body: &str) -> Response {
    Response::builder()
        .status(status)
        .content_type("text/plain; charset=utf-8")
        .body(body.to_owned())
}

fn json(value: &impl Serialize) -> Response {
    match Body::from_json(value) {
        Ok(body) => Response::builder()
            .content_type("application/json")
            .body(body),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
