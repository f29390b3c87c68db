//! Metrics of a daemon on the platform.

use super::auxiliary::AuxiliaryResponse;
use super::preview::answer_preview;
use super::state::Gateway;
use crate::telemetry::{Exposition, LineCounts, counter, gauge, time_histogram};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use gentianridge_api::PREVIEW_PATH;
use gentianridge_core::{AttemptKind, ResultCode, TargetCondition};
use http::{Method, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Path at which the metrics are served.
const PATH: &str = "/metrics";

/// The instruments of one daemon; docs/METRICS-AND-LOGS.md explains each.
#[derive(Debug)]
pub(crate) struct GatewayMetrics {
    exposition: Exposition,
    lines: Option<Arc<LineCounts>>,
    requests: Histogram<f64>,
    waits: Histogram<f64>,
    attempts: Histogram<f64>,
    sends: Counter<u64>,
    refusals: Counter<u64>,
    connections: Counter<u64>,
    samples: Counter<u64>,
    store_calls: Counter<u64>,
    targets: Gauge<f64>,
    waiting: Gauge<f64>,
    version: Gauge<f64>,
    vms: Gauge<f64>,
    datagrams: Counter<u64>,
    datagram_bytes: Counter<u64>,
    state_requests: Counter<u64>,
    state_bytes: Counter<u64>,
    announcements: Counter<u64>,
    outdated_sends: Counter<u64>,
    list_due: Gauge<f64>,
    list_age: Gauge<f64>,
    log_lines: Gauge<f64>,
}

impl GatewayMetrics {
    pub(crate) fn new(lines: Option<Arc<LineCounts>>) -> anyhow::Result<Self> {
        let exposition = Exposition::new()?;
        let meter = exposition.get_meter();
        Ok(Self {
            requests: time_histogram(
                &meter,
                "http.server.request.duration",
                "Time until the answer or refusal",
            ),
            waits: time_histogram(
                &meter,
                "gentianridge.queue.duration",
                "Time from the arrival of a request to each send",
            ),
            attempts: time_histogram(
                &meter,
                "gentianridge.attempt.duration",
                "Time of one attempt at a target",
            ),
            sends: counter(&meter, "gentianridge.attempts", "Attempts by kind"),
            refusals: counter(&meter, "gentianridge.refusals", "Refusals by result code"),
            connections: counter(
                &meter,
                "gentianridge.connections",
                "Connections to targets, opened and reused",
            ),
            samples: counter(&meter, "gentianridge.samples", "Load requests to targets"),
            store_calls: counter(&meter, "gentianridge.store.calls", "Calls by outcome"),
            targets: gauge(&meter, "gentianridge.targets", "Targets by condition"),
            waiting: gauge(
                &meter,
                "gentianridge.queue.length",
                "Requests waiting in the queue",
            ),
            version: gauge(
                &meter,
                "gentianridge.config.version",
                "Version of the configuration in force",
            ),
            vms: gauge(&meter, "gentianridge.peers", "Live peers"),
            datagrams: counter(
                &meter,
                "gentianridge.peer.datagrams",
                "Datagrams to peers by fate",
            ),
            datagram_bytes: counter(
                &meter,
                "gentianridge.peer.sent",
                "Bytes of datagrams to peers",
            ),
            state_requests: counter(
                &meter,
                "gentianridge.peer.state.requests",
                "Requests to peers for their state, by outcome",
            ),
            state_bytes: counter(
                &meter,
                "gentianridge.peer.state.sent",
                "Bytes of state sent to peers",
            ),
            announcements: counter(
                &meter,
                "gentianridge.target.announcements",
                "Targets that announced their leave or requested a pause, by source",
            ),
            outdated_sends: counter(
                &meter,
                "gentianridge.list.outdated.sends",
                "Requests sent by an outdated list because the store did not answer",
            ),
            list_age: gauge(
                &meter,
                "gentianridge.list.age",
                "Time since the read of the store that the list of targets reflects",
            ),
            list_due: gauge(
                &meter,
                "gentianridge.list.due",
                "Time until this VM reads the list of targets; negative when overdue",
            ),
            log_lines: gauge(&meter, "gentianridge.log.lines", "Log lines by fate"),
            lines,
            exposition,
        })
    }

    pub(crate) fn record_request(
        &self,
        route: &str,
        kind: &'static str,
        status: u16,
        took: Duration,
    ) {
        let labels = [
            KeyValue::new("http.route", route.to_owned()),
            KeyValue::new("kind", kind),
            KeyValue::new("http.response.status_code", i64::from(status)),
        ];
        self.requests.record(took.as_secs_f64(), &labels);
    }

    pub(crate) fn record_send(&self, service: &str, kind: AttemptKind, waited: Duration) {
        let service = KeyValue::new("service", service.to_owned());
        self.waits
            .record(waited.as_secs_f64(), std::slice::from_ref(&service));
        self.sends
            .add(1, &[service, KeyValue::new("kind", kind.as_str())]);
    }

    pub(crate) fn record_attempt(&self, service: &str, outcome: &'static str, took: Duration) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.attempts.record(took.as_secs_f64(), &labels);
    }

    pub(crate) fn record_refusal(&self, code: ResultCode) {
        self.refusals
            .add(1, &[KeyValue::new("code", i64::from(code.number()))]);
    }

    pub(crate) fn record_connection(&self, use_: &'static str) {
        self.connections.add(1, &[KeyValue::new("use", use_)]);
    }

    pub(crate) fn record_sample(&self) {
        self.samples.add(1, &[]);
    }

    /// Counts a datagram of `size` bytes, or one that was skipped because of the
    /// byte budget.
    pub(crate) fn record_datagram(&self, fate: &'static str, size: usize) {
        self.datagrams.add(1, &[KeyValue::new("fate", fate)]);
        self.datagram_bytes.add(size as u64, &[]);
    }

    pub(crate) fn record_state_request(&self, is_success: bool) {
        let outcome = if is_success { "ok" } else { "failed" };
        self.state_requests
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn record_state_reply(&self, size: usize) {
        self.state_bytes.add(size as u64, &[]);
    }

    pub(crate) fn record_announcement(&self, kind: &'static str, source: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("source", source)];
        self.announcements.add(1, &labels);
    }

    pub(crate) fn record_outdated_send(&self) {
        self.outdated_sends.add(1, &[]);
    }

    pub(crate) fn record_store_call(&self, call: &'static str, is_success: bool) {
        let outcome = if is_success { "ok" } else { "failed" };
        let labels = [
            KeyValue::new("call", call),
            KeyValue::new("outcome", outcome),
        ];
        self.store_calls.add(1, &labels);
    }

    /// Reads the state of the daemon and returns all metrics as text.
    pub(crate) fn render(&self, gateway: &Gateway) -> String {
        self.observe_services(gateway);
        self.version.record(gateway.get_version() as f64, &[]);
        self.vms
            .record(gateway.peers.count_live(gateway.clock.now()) as f64, &[]);
        let now = gateway.clock.now();
        if let Some(age) = gateway.list.borrow().get_age(now) {
            self.list_age.record(age.as_secs_f64(), &[]);
        }
        if let Some(due) = gateway.get_list_due() {
            let ahead = due.saturating_duration_since(now).as_secs_f64();
            let behind = now.saturating_duration_since(due).as_secs_f64();
            self.list_due.record(ahead - behind, &[]);
        }
        if let Some(lines) = &self.lines {
            let fates = [
                ("written", lines.get_written()),
                ("left out", lines.get_left_out()),
            ];
            for (fate, count) in fates {
                self.log_lines
                    .record(count as f64, &[KeyValue::new("fate", fate)]);
            }
        }
        self.exposition.render()
    }

    fn observe_services(&self, gateway: &Gateway) {
        gateway.for_each_service(|service| {
            let (status, waiting) =
                service.read(|machine, now| (machine.get_status(now), machine.count_waiting()));
            let label = KeyValue::new("service", service.name.to_string());
            self.waiting
                .record(waiting as f64, std::slice::from_ref(&label));
            let conditions = [
                ("active", TargetCondition::Active),
                ("ejected", TargetCondition::Ejected),
                ("leaving", TargetCondition::Leaving),
                ("drained", TargetCondition::Drained),
            ];
            for (name, condition) in conditions {
                let count = status.iter().filter(|t| t.condition == condition).count();
                let labels = [label.clone(), KeyValue::new("condition", name)];
                self.targets.record(count as f64, &labels);
            }
        });
    }
}

/// Answers with all metrics, or with a preview of a request.
pub(crate) fn answer_metrics(
    gateway: Rc<Gateway>,
    request: http::Request<Incoming>,
) -> LocalBoxFuture<'static, AuxiliaryResponse> {
    async move {
        match (request.method(), request.uri().path()) {
            (&Method::POST, PREVIEW_PATH) => answer_preview(&gateway, request).await,
            (_, PATH) => http::Response::new(Full::from(gateway.metrics.render(&gateway))),
            _ => {
                let mut response = http::Response::new(Full::default());
                *response.status_mut() = StatusCode::NOT_FOUND;
                response
            }
        }
    }
    .boxed_local()
}
