//! One HTTP exchange with a caller, from the request to the answer.

use super::activity::Activity;
use super::admission::LimitPermit;
use super::answer::{AnswerBody, make_refusal};
use super::call::{Call, CallContext, CallEnd};
use super::request::CallerRequest;
use super::routing::RouteDecision;
use super::state::Gateway;
use crate::caller::headers::get_text;
use gentianridge_core::{ClassKind, ResultCode, RunState, WorkspaceKey};
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use rand::RngExt;
use smol_str::SmolStr;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Callers honour a `Retry-After` of at most the time that they have left
/// divided by this.
const RETRY_AFTER_DIVISOR: u32 = 3;
/// Multiple of the time until the first target returns over which the retries of
/// callers are spread, so that they do not all arrive at that moment.
const PAUSE_SPREAD: f64 = 1.25;

/// Refusal of a request before it reached a service.
#[derive(Debug)]
pub(crate) struct EarlyRefusal {
    pub(crate) code: ResultCode,
    /// Time after which there is room, if it is known.
    pub(crate) retry_after: Option<Duration>,
    /// Name of the workspace whose limit is reached.
    pub(crate) workspace: Option<SmolStr>,
}

impl From<ResultCode> for EarlyRefusal {
    fn from(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
            workspace: None,
        }
    }
}

/// Answers one request.
///
/// hyper drops this future when the caller closes the connection.
pub(crate) async fn handle_request(
    gateway: Rc<Gateway>,
    activity: Rc<Activity>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let arrived = gateway.clock.now();
    let id = get_text(request.headers(), &gateway.headers.attempt_id).unwrap_or_default();
    let mut response = match exchange(&gateway, &activity, arrived, request).await {
        Ok(response) => response,
        Err(refusal) => {
            let code = refusal.code;
            gateway.metrics.record_refusal(code);
            log::warn!(
                target: "request",
                request = id.as_str(),
                status = code.http_status(),
                code = code.number(),
                workspace = refusal.workspace.as_deref(),
                version = gateway.get_version();
                "{}",
                code.text()
            );
            let retry_after = refusal.retry_after;
            let retry_after = retry_after.unwrap_or_else(|| get_early_retry_after(&gateway, code));
            make_refusal(code, Some(retry_after))
        }
    };
    if gateway.is_stopping() {
        // A close that is announced with an answer cannot collide with the
        // caller's next request on the connection.
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn exchange(
    gateway: &Rc<Gateway>,
    activity: &Rc<Activity>,
    arrived: Instant,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, EarlyRefusal> {
    let (decision, request, permit) = tokio::select! {
        biased;
        () = gateway.wait_answers_due() => return Err(ResultCode::Stopping.into()),
        received = receive(gateway, activity, request) => received?,
    };
    if gateway.is_quarantined(request.fingerprint) {
        return Err(ResultCode::CrashesTargets.into());
    }
    let cx = make_context(gateway, &decision, arrived, request);
    let permit = permit.map(LimitPermit::start);
    let end = match decision.kind {
        ClassKind::Once => run_detached(cx.clone()).await,
        ClassKind::Interactive | ClassKind::Background => Call::start(cx.clone()).run().await,
    };
    log_request(&decision, &cx, &end);
    cx.request.body.discard_rest();
    match end.result {
        Ok((answer, slot)) => Ok(answer.into_response(slot, activity)),
        Err(code) => {
            gateway.metrics.record_refusal(code);
            let kind = decision.kind.as_str();
            gateway
                .metrics
                .record_turned_away(&decision.service.name, kind, code);
            if let Some(permit) = permit.filter(|_| code.run_state() == RunState::NotRun) {
                permit.give_back();
            }
            Ok(make_refusal(code, Some(get_retry_after(&cx, code))))
        }
    }
}

/// Routes a request, admits it by the limit of its workspace and reads its body.
async fn receive(
    gateway: &Rc<Gateway>,
    activity: &Activity,
    request: Request<Incoming>,
) -> Result<(RouteDecision, CallerRequest, Option<LimitPermit>), EarlyRefusal> {
    gateway.wait_loaded().await;
    let decision = gateway.route(&request)?;
    let permit = gateway.admit(&decision).await?;
    let max_body = gateway.get_limits().max_body_bytes;
    let memory = activity.get_memory().clone();
    let mut request = CallerRequest::read(gateway, memory, request, max_body).await?;
    activity.end_reading();
    if decision.needs_identity {
        let workspace = decision.workspace.as_ref();
        let name = workspace.map(|workspace| workspace.name.as_str());
        request.set_workspace(&gateway.headers, name);
    }
    Ok((decision, request, permit))
}

fn make_context(
    gateway: &Rc<Gateway>,
    decision: &RouteDecision,
    arrived: Instant,
    request: CallerRequest,
) -> CallContext {
    let time_left = request.time_left.unwrap_or(decision.timeout);
    CallContext {
        gateway: gateway.clone(),
        service: decision.service.clone(),
        class: decision.class,
        kind: decision.kind,
        arrived,
        deadline: arrived + time_left.min(decision.timeout),
        objective: decision.objective,
        workspace: decision
            .workspace
            .as_ref()
            .map(|workspace| WorkspaceKey::from_name(&workspace.name)),
        request: Rc::new(request),
        caller_gone: CancellationToken::new(),
    }
}

/// Runs a call in a task of its own. The task continues when the caller
/// disconnects, so that a request that was sent is not aborted and its slot
/// stays counted.
async fn run_detached(cx: CallContext) -> CallEnd {
    let _cancel = cx.caller_gone.clone().drop_guard();
    let call = Call::start(cx);
    let task = tokio::task::spawn_local(call.run());
    task.await.unwrap_or_else(|error| {
        log::error!("a call ended without a result: {error}");
        CallEnd {
            result: Err(ResultCode::AttemptFailed),
            attempts: 0,
        }
    })
}

/// Returns the `Retry-After` of a request that was refused before it reached a
/// service: within a second, this daemon receives a configuration or the
/// balancer chooses another VM.
fn get_early_retry_after(gateway: &Gateway, code: ResultCode) -> Duration {
    if code == ResultCode::Stopping {
        return gateway.get_stop_retry_after();
    }
    Duration::from_millis(rand::rng().random_range(300..=1_000))
}

/// Returns the `Retry-After` of a refused request.
///
/// If capacity is expected while the answer can still meet its objective, the
/// caller retries at about that time. Otherwise the answer will be late anyway,
/// and retries are spread over the longest pause that callers honour, so that
/// they do not take the capacity of requests that can still be in time.
fn get_retry_after(cx: &CallContext, code: ResultCode) -> Duration {
    let now = cx.gateway.clock.now();
    if code == ResultCode::Stopping {
        return cx.gateway.get_stop_retry_after();
    }
    if code == ResultCode::TargetsPaused {
        let pause_left = cx.service.read(|machine, now| machine.get_pause_left(now));
        return pause_left.mul_f64(rand::rng().random_range(1.0..PAUSE_SPREAD));
    }
    let longest = cx.deadline.saturating_duration_since(now) / RETRY_AFTER_DIVISOR;
    let wait = cx
        .service
        .read(|machine, now| machine.estimate_capacity_wait(now, cx.class));
    let mut rng = rand::rng();
    if now + wait * 2 < cx.arrived + cx.objective {
        wait.mul_f64(rng.random_range(0.5..1.5)).min(longest)
    } else {
        longest.mul_f64(rng.random_range(0.5..1.0))
    }
}

/// Records the metrics of a request and writes its log line.
fn log_request(decision: &RouteDecision, cx: &CallContext, end: &CallEnd) {
    let took = cx.gateway.clock.now().saturating_duration_since(cx.arrived);
    let (level, status, code) = match &end.result {
        Ok((answer, _)) => (log::Level::Info, answer.status.as_u16(), None),
        Err(code) => (log::Level::Warn, code.http_status(), Some(*code)),
    };
    cx.gateway
        .metrics
        .record_request(&decision.route, decision.kind.as_str(), status, took);
    if let Some(workspace) = &decision.workspace {
        cx.gateway.metrics.record_workspace(&workspace.name, code);
    }
    log::log!(
        target: "request",
        level,
        request = cx.request.id.as_str(),
        route = decision.route.as_str(),
        service = decision.service.name.as_str(),
        workspace = decision.workspace.as_ref().map(|workspace| workspace.name.as_str()),
        kind = decision.kind.as_str(),
        status = status,
        code = code.map(gentianridge_core::ResultCode::number),
        run = code.map(|code| code.run_state().as_str()),
        took_ms = took.as_millis() as u64,
        time_left_ms = cx.request.time_left.map(|left| left.as_millis() as u64),
        attempts = end.attempts,
        version = decision.version;
        "{}",
        code.map_or("answered", gentianridge_core::ResultCode::text)
    );
}
