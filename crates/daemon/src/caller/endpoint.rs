//! The HTTP endpoint for callers.

use super::answer::{AnswerHeaders, replay_answer, stream_answer};
use super::call::{Call, CallContext, Delivered};
use super::headers::{self, REPLAYED};
use super::incoming::{IncomingRequest, RequestHead};
use super::once::{OnceOutcome, run_once};
use super::refusal::refuse;
use crate::fleet::Fleet;
use crate::service::ServiceHandle;
use crate::telemetry::{CallMetric, TraceBuilder};
use futures_util::StreamExt;
use gentianridge_core::{ClassKey, ClassKind, ResultCode};
use gentianridge_serve::{Connection, Connections};
use http::HeaderValue;
use poem::{Endpoint, Request, Response};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Serves the requests of callers.
#[derive(Debug)]
pub(crate) struct CallerEndpoint {
    fleet: Arc<Fleet>,
    connections: Arc<Connections>,
}

impl CallerEndpoint {
    pub(crate) fn new(fleet: Arc<Fleet>, connections: Arc<Connections>) -> Self {
        Self { fleet, connections }
    }
}

impl Endpoint for CallerEndpoint {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let head = RequestHead::new(&request);
        let body = request.take_body();
        let connection = self
            .connections
            .get_connection(request.remote_addr().as_socket_addr().copied());
        let _busy = connection.mark_busy();
        let clock = &self.fleet.clock;
        let mut trace = TraceBuilder::new(
            head.id.clone(),
            self.fleet.me.clone(),
            clock.now(),
            clock.wall(),
        );
        let route = match resolve_route(&self.fleet, &head, &mut trace) {
            Ok(route) => route,
            Err(code) => {
                drain_body(body, self.fleet.settings.max_body).await;
                return Ok(finish_refused(&self.fleet, code, trace));
            }
        };
        match prepare(&self.fleet, route, head, body).await {
            Ok(cx) if cx.kind == ClassKind::Once => Ok(call_once(cx, trace).await),
            Ok(cx) => Ok(call_idempotent(cx, connection, trace).await),
            Err(code) => Ok(finish_refused(&self.fleet, code, trace)),
        }
    }
}

/// Service, class and limits of a request.
struct ResolvedRoute {
    service: Arc<ServiceHandle>,
    class: ClassKey,
    kind: ClassKind,
    deadline: Instant,
    silence: Duration,
}

/// Finds the service and the class of a request.
fn resolve_route(
    fleet: &Fleet,
    head: &RequestHead,
    trace: &mut TraceBuilder,
) -> Result<ResolvedRoute, ResultCode> {
    let arrived = fleet.clock.now();
    let routes = fleet.get_routes().ok_or(ResultCode::NoConfiguration)?;
    head.check(fleet.settings.max_body)?;
    let method = head.method.as_str();
    let index = routes
        .spec
        .find_service(method, &head.path)
        .ok_or(ResultCode::NoService)?;
    let service = routes.services[index].clone();
    let found = service.read(|machine, _| {
        let class = machine.find_class(method, &head.path)?;
        let spec = machine.get_class(class)?;
        trace.route(&service.name, &spec.name);
        Some((class, spec.kind, spec.deadline, machine.get_spec().silence))
    });
    let (class, kind, class_deadline, silence) = found.ok_or(ResultCode::NoService)?;
    let timeout = headers::get_timeout(&head.headers)
        .map_or(class_deadline, |timeout| timeout.min(class_deadline));
    let mut deadline = arrived + timeout;
    if let Some(stop) = fleet.get_stop() {
        // The caller gets an answer before its connection is closed.
        deadline = deadline.min(stop.answer_until);
    }
    Ok(ResolvedRoute {
        service,
        class,
        kind,
        deadline,
        silence,
    })
}

/// Longest time for reading the body of a refused request.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the rest of a refused request, up to `max` bytes and [`DRAIN_TIMEOUT`].
///
/// A caller whose connection is closed while it writes never reads the refusal.
async fn drain_body(body: poem::Body, max: usize) {
    let mut stream = std::pin::pin!(body.into_bytes_stream());
    let mut read = 0;
    let drain = async {
        while let Some(Ok(chunk)) = stream.next().await {
            read += chunk.len();
            if read > max {
                return;
            }
        }
    };
    // The timeout bounds callers that send without end.
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, drain).await;
}

/// Reads the body of a request and runs the checks that depend on it.
async fn prepare(
    fleet: &Arc<Fleet>,
    route: ResolvedRoute,
    head: RequestHead,
    body: poem::Body,
) -> Result<CallContext, ResultCode> {
    let request = IncomingRequest::read(head, body, fleet).await?;
    if route.kind == ClassKind::Once && !request.is_replayable() {
        return Err(ResultCode::BadRequest);
    }
    if fleet
        .quarantine
        .lock()
        .is_quarantined(request.get_fingerprint())
    {
        return Err(ResultCode::Quarantined);
    }
    Ok(CallContext {
        fleet: fleet.clone(),
        service: route.service,
        class: route.class,
        kind: route.kind,
        deadline: route.deadline,
        silence: route.silence,
        request: Arc::new(request),
    })
}

/// Runs a call that may be repeated; it is cancelled if the caller disconnects.
async fn call_idempotent(
    cx: CallContext,
    connection: Connection,
    mut trace: TraceBuilder,
) -> Response {
    let result = tokio::select! {
        biased;
        result = run_idempotent(&cx, &mut trace) => result,
        () = connection.get_closed_token().cancelled() => Err(ResultCode::CallerGone),
    };
    match result {
        Ok(delivered) => {
            let response =
                stream_answer(delivered, cx.silence, connection, &get_answer_headers(&cx));
            finish(&cx.fleet, &response, None, trace);
            response
        }
        Err(code) => finish_refused(&cx.fleet, code, trace),
    }
}

async fn run_idempotent(
    cx: &CallContext,
    trace: &mut TraceBuilder,
) -> Result<Delivered, ResultCode> {
    let mut call = Call::start(cx);
    let grant = call.wait_grant().await?;
    call.run(grant, trace).await
}

/// Runs a call of kind once in a task of its own.
///
/// A caller that disconnects must not cancel work that has been dispatched.
async fn call_once(cx: CallContext, trace: TraceBuilder) -> Response {
    let fleet = cx.fleet.clone();
    let request = cx.request.head.id.clone();
    let task = tokio::spawn(finish_once(cx, trace));
    task.await
        .unwrap_or_else(|_| refuse(ResultCode::OutcomeUnknown, &request, &fleet.me))
}

async fn finish_once(cx: CallContext, mut trace: TraceBuilder) -> Response {
    let end = run_once(cx.clone(), &mut trace).await;
    let (answer, is_replay) = match end {
        OnceOutcome::Answered(answer) => (answer, false),
        OnceOutcome::Replayed(answer) => (answer, true),
        OnceOutcome::Refused(code) => return finish_refused(&cx.fleet, code, trace),
    };
    let mut response = replay_answer(&answer, &get_answer_headers(&cx));
    if is_replay {
        response
            .headers_mut()
            .insert(REPLAYED, HeaderValue::from_static("1"));
    }
    finish(&cx.fleet, &response, None, trace);
    response
}

fn get_answer_headers(cx: &CallContext) -> AnswerHeaders<'_> {
    AnswerHeaders {
        request: &cx.request.head.id,
        vm: &cx.fleet.me,
    }
}

fn finish_refused(fleet: &Fleet, code: ResultCode, trace: TraceBuilder) -> Response {
    fleet.metrics.record_refusal(code);
    let request: SmolStr = trace.get_request().clone();
    let response = refuse(code, &request, &fleet.me);
    finish(fleet, &response, Some(code), trace);
    response
}

fn finish(fleet: &Fleet, response: &Response, code: Option<ResultCode>, trace: TraceBuilder) {
    let now = fleet.clock.now();
    let queued = trace.get_queued();
    let trace = trace.finish(now, response.status().as_u16(), code);
    if let (Some(service), Some(class)) = (&trace.service, &trace.class) {
        fleet.metrics.record_call(&CallMetric {
            service,
            class,
            status: trace.status,
            elapsed: Duration::from_micros(trace.elapsed_us),
            queued,
        });
    }
    fleet.traces.add(trace);
}
