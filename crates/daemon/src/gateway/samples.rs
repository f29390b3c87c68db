//! Load requests to targets.

use super::body::OutgoingBody;
use super::connections::{Connection, ReusePolicy, describe_error};
use super::state::Gateway;
use crate::caller::headers::{get_text, is_final_status};
use crate::service::ServiceHandle;
use crate::telemetry::STATE_LOG_TARGET;
use anyhow::Context;
use gentianridge_adapter::{HeaderNames, parse_load};
use gentianridge_core::{Incarnation, SendCheck, TargetKey};
use http::{HeaderMap, HeaderValue, Request, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a load request. The load sample is of use only for some tens of
/// milliseconds; the rest of the time avoids closing the connection of a slow
/// target.
const TIMEOUT: Duration = Duration::from_millis(250);
/// Largest body in bytes of an answer to a load request, which states the load in its head.
const MAX_BODY: usize = 64 * 1024;

/// Sends load requests to the targets that the service names, until the task is
/// dropped.
pub(crate) async fn run_samples(gateway: Rc<Gateway>, service: Arc<ServiceHandle>) {
    let mut requests = service.subscribe_load_requests();
    while let Some(target) = requests.recv().await {
        let (gateway, service) = (gateway.clone(), service.clone());
        tokio::task::spawn_local(async move {
            gateway.metrics.record_sample();
            let request = request_load(&gateway, &service, target);
            match tokio::time::timeout(TIMEOUT, request).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => log::debug!("load request to a target failed: {error:#}"),
                Err(_) => log::debug!("load request to a target timed out"),
            }
        });
    }
}

async fn request_load(
    gateway: &Rc<Gateway>,
    service: &ServiceHandle,
    target: TargetKey,
) -> anyhow::Result<()> {
    let (addr, incarnation) = service
        .read(|machine, _| {
            let spec = machine.get_target(target)?;
            Some((spec.addr, spec.get_incarnation()))
        })
        .context("the target is no longer declared")?;
    let path = gateway
        .get_health_path(&service.name)
        .context("the service has no health path")?;
    let now = gateway.clock.now();
    let mut connection = match gateway
        .connections
        .take(now, &incarnation, ReusePolicy::AnyUsable)
    {
        Some(connection) => connection,
        None => {
            gateway.metrics.record_connection("opened");
            Connection::open(addr, now).await?
        }
    };
    let check = gateway
        .list
        .borrow()
        .check_send(gateway.clock.now(), &incarnation);
    match check {
        SendCheck::Withdrawn | SendCheck::Paused | SendCheck::Emptied => return Ok(()),
        SendCheck::Allowed | SendCheck::Outdated => {}
    }
    let mut request = Request::new(OutgoingBody::empty());
    *request.uri_mut() = path.parse()?;
    let host = HeaderValue::from_str(&addr.to_string())?;
    request.headers_mut().insert(header::HOST, host);
    let response = connection
        .send(request)
        .await
        .map_err(|error| anyhow::anyhow!("{error:?}"))?;
    let (head, body) = response.into_parts();
    anyhow::ensure!(
        is_final_status(head.status),
        "status {} ends no answer",
        head.status.as_u16()
    );
    gateway.record_announcements(&incarnation, head.status, &head.headers);
    check_answer(&gateway.headers, &head.headers, &incarnation)?;
    discard_body(&connection, body).await?;
    // A target that repeats a refusal would answer the next request with it.
    let is_refused = head.headers.contains_key(&gateway.headers.not_run);
    if !is_refused
        && connection.record_answer(gateway.clock.now(), &head.headers)
        && connection.wait_ready().await
    {
        // The connection is kept before the report is recorded, since the
        // request that waits for the report is sent to this target next.
        gateway.keep_ready_connection(&incarnation, connection);
    }
    let report = get_text(&head.headers, &gateway.headers.load).and_then(|text| parse_load(&text));
    let is_current = service.read(|machine, _| machine.is_same_target(target, addr, &incarnation));
    if is_current {
        record_cold(gateway, service, target, &head.headers);
    }
    if let Some(report) = report.filter(|_| is_current) {
        service.report(target, None, report);
    }
    Ok(())
}

/// Reads the body of an answer to its end and holds nothing of it.
///
/// # Errors
///
/// Fails if the body is truncated or larger than [`MAX_BODY`].
async fn discard_body(connection: &Connection, mut body: Incoming) -> anyhow::Result<()> {
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| anyhow::anyhow!(describe_error(&error)))?;
        if let Some(data) = frame.data_ref() {
            connection.record_body_part();
            size += data.len();
            anyhow::ensure!(size <= MAX_BODY, "the body is larger than {MAX_BODY} bytes");
        }
    }
    Ok(())
}

/// Records for how long the target says it is cold.
fn record_cold(gateway: &Gateway, service: &ServiceHandle, target: TargetKey, headers: &HeaderMap) {
    let text = get_text(headers, &gateway.headers.cold_ms);
    let left = text.and_then(|text| text.trim().parse().ok());
    let left = left.map_or(Duration::ZERO, Duration::from_millis);
    if service.record_cold_answer(target, left) {
        let name = service.read(|machine, _| machine.get_target(target).map(|t| t.name.clone()));
        log::info!(
            target: STATE_LOG_TARGET,
            service = service.name.as_str(),
            target = name.unwrap_or_default().as_str(),
            cold_left_ms = left.as_millis() as u64;
            "target says that it is cold"
        );
    }
}

/// Checks that an answer is the target's own answer to a load request, and not a late copy
/// of its answer to a caller's request. The connection is closed otherwise, since the next
/// answer on it would belong to this request.
fn check_answer(
    names: &HeaderNames,
    headers: &HeaderMap,
    incarnation: &Incarnation,
) -> anyhow::Result<()> {
    anyhow::ensure!(
        !headers.contains_key(&names.attempt_id),
        "the answer echoes the attempt ID of a request"
    );
    let answered_by = get_text(headers, &names.target);
    anyhow::ensure!(
        answered_by.is_none_or(|id| id == incarnation.id),
        "another target answers at this address"
    );
    Ok(())
}
