//! Metrics of a daemon on the platform.

use super::auxiliary::AuxiliaryResponse;
use super::memory::MemoryKeeper;
use super::preview::answer_preview;
use super::state::Gateway;
use super::workspace_labels::WorkspaceLabels;
use crate::telemetry::{Exposition, LineCounts, counter, gauge, time_histogram};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use gentianridge_api::PREVIEW_PATH;
use gentianridge_core::{AttemptKind, FleetLimits, ResultCode, RunState, TargetCondition};
use http::{Method, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use smol_str::SmolStr;
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
    turned_away: Counter<u64>,
    workspace_requests: Counter<u64>,
    workspace_labels: WorkspaceLabels,
    connections: Counter<u64>,
    samples: Counter<u64>,
    store_calls: Counter<u64>,
    eras: Counter<u64>,
    era: Gauge<f64>,
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
    limit_requests: Counter<u64>,
    limit_states: Gauge<f64>,
    limit_introduced: Gauge<f64>,
    list_due: Gauge<f64>,
    list_age: Gauge<f64>,
    proof_age: Gauge<f64>,
    emptied: Gauge<f64>,
    emptied_version: Gauge<f64>,
    emptied_time: Gauge<f64>,
    log_lines: Gauge<f64>,
    closed_callers: Counter<u64>,
    caller_memory: Gauge<f64>,
    caller_connections: Gauge<f64>,
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
            turned_away: counter(
                &meter,
                "gentianridge.turned.away",
                "Requests that a service refused, by service, kind and result code",
            ),
            workspace_requests: counter(
                &meter,
                "gentianridge.workspace.requests",
                "Requests of each workspace by outcome",
            ),
            workspace_labels: WorkspaceLabels::default(),
            connections: counter(
                &meter,
                "gentianridge.connections",
                "Connections to targets, opened and reused",
            ),
            samples: counter(&meter, "gentianridge.samples", "Load requests to targets"),
            store_calls: counter(&meter, "gentianridge.store.calls", "Calls by outcome"),
            eras: counter(
                &meter,
                "gentianridge.store.eras",
                "Answers of the store with another era than the last one, by order",
            ),
            era: gauge(
                &meter,
                "gentianridge.store.era",
                "Newest era in an answer of the store, 0 if none states one",
            ),
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
            limit_requests: counter(
                &meter,
                "gentianridge.limit.requests",
                "Requests of workspaces with a limit, by outcome",
            ),
            limit_states: gauge(
                &meter,
                "gentianridge.limit.states",
                "Workspaces whose limit was used lately",
            ),
            limit_introduced: gauge(
                &meter,
                "gentianridge.limit.introduced",
                "1 once the fleet counts this VM, which may then hold parts of limits",
            ),
            list_age: gauge(
                &meter,
                "gentianridge.list.age",
                "Time since the read of the store that the list of targets reflects",
            ),
            proof_age: gauge(
                &meter,
                "gentianridge.config.proof.age",
                "Greatest time since the configuration in force was the newest one in the store",
            ),
            emptied: gauge(
                &meter,
                "gentianridge.domains.emptied",
                "Failure domains that operators have emptied",
            ),
            emptied_version: gauge(
                &meter,
                "gentianridge.domains.emptied.version",
                "Version of the store at which the emptied failure domains were read",
            ),
            emptied_time: gauge(
                &meter,
                "gentianridge.domains.emptied.time",
                "Time since this VM learned of the domain that was emptied first, 0 without one",
            ),
            list_due: gauge(
                &meter,
                "gentianridge.list.due",
                "Time until this VM reads the list of targets; negative when overdue",
            ),
            log_lines: gauge(&meter, "gentianridge.log.lines", "Log lines by fate"),
            closed_callers: counter(
                &meter,
                "gentianridge.callers.closed",
                "Callers' connections closed to protect this VM, by reason",
            ),
            caller_memory: gauge(
                &meter,
                "gentianridge.callers.memory",
                "Bytes held for callers, in use and at most",
            ),
            caller_connections: gauge(
                &meter,
                "gentianridge.callers.connections",
                "Callers' connections, open and at most",
            ),
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

    /// Counts a request of a workspace; `code` is that of a refusal or failure.
    pub(crate) fn record_workspace(&self, name: &SmolStr, code: Option<ResultCode>) {
        let outcome = match code.map(ResultCode::run_state) {
            None => "answered",
            Some(RunState::NotRun) => "refused",
            Some(_) => "failed",
        };
        let label = self.workspace_labels.get(name).to_string();
        let labels = [
            KeyValue::new("workspace", label),
            KeyValue::new("outcome", outcome),
        ];
        self.workspace_requests.add(1, &labels);
    }

    pub(crate) fn record_refusal(&self, code: ResultCode) {
        self.refusals
            .add(1, &[KeyValue::new("code", i64::from(code.number()))]);
    }

    /// Counts a request that its service refused.
    pub(crate) fn record_turned_away(&self, service: &str, kind: &'static str, code: ResultCode) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("kind", kind),
            KeyValue::new("code", i64::from(code.number())),
        ];
        self.turned_away.add(1, &labels);
    }

    pub(crate) fn record_connection(&self, use_: &'static str) {
        self.connections.add(1, &[KeyValue::new("use", use_)]);
    }

    pub(crate) fn record_closed_caller(&self, reason: &'static str) {
        self.closed_callers
            .add(1, &[KeyValue::new("reason", reason)]);
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

    /// Counts a request of a workspace with a limit.
    pub(crate) fn record_limit(&self, workspace: &SmolStr, outcome: &'static str) {
        let label = self.workspace_labels.get(workspace).to_string();
        let labels = [
            KeyValue::new("workspace", label),
            KeyValue::new("outcome", outcome),
        ];
        self.limit_requests.add(1, &labels);
    }

    pub(crate) fn record_outdated_send(&self) {
        self.outdated_sends.add(1, &[]);
    }

    /// Counts an answer of the store that states another era than the last one.
    pub(crate) fn record_era(&self, order: &'static str) {
        self.eras.add(1, &[KeyValue::new("order", order)]);
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
        self.era.record(gateway.era.borrow().get() as f64, &[]);
        self.vms
            .record(gateway.peers.count_live(gateway.clock.now()) as f64, &[]);
        if gateway.limits.read(FleetLimits::is_limiting) {
            let active = gateway.limits.read(FleetLimits::count_active);
            self.limit_states.record(active as f64, &[]);
            let is_introduced = gateway.limits.read(FleetLimits::is_introduced);
            let introduced = if is_introduced { 1.0 } else { 0.0 };
            self.limit_introduced.record(introduced, &[]);
        }
        let now = gateway.clock.now();
        if let Some(age) = gateway.list.borrow().get_age(now) {
            self.list_age.record(age.as_secs_f64(), &[]);
        }
        if let Some(age) = gateway.get_proof_age() {
            self.proof_age.record(age.as_secs_f64(), &[]);
        }
        self.observe_emptied(gateway);
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
        self.observe_memory(&gateway.memory);
        self.exposition.render()
    }

    fn observe_emptied(&self, gateway: &Gateway) {
        let list = gateway.list.borrow();
        let domains = list.get_emptied();
        let now = gateway.clock.now();
        let first = domains.get_since().map(|(_, since)| since).min();
        let time = first.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.emptied.record(domains.get().len() as f64, &[]);
        self.emptied_version
            .record(domains.get_version().number as f64, &[]);
        self.emptied_time.record(time.as_secs_f64(), &[]);
    }

    fn observe_memory(&self, memory: &MemoryKeeper) {
        let budget = memory.get_budget();
        let (used, connections) = memory.get_use();
        for (kind, bytes, count) in [
            ("used", used, connections),
            ("limit", budget.capacity, budget.max_connections),
        ] {
            let label = [KeyValue::new("kind", kind)];
            self.caller_memory.record(bytes as f64, &label);
            self.caller_connections.record(count as f64, &label);
        }
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
                ("emptied", TargetCondition::Emptied),
                ("cold", TargetCondition::Cold),
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
