//! One call from its arrival in a service until its answer.

use super::forward::{AttemptEnd, AttemptPlan};
use super::headers::{self, RETRIED};
use super::incoming::IncomingRequest;
use super::read_report;
use crate::fleet::Fleet;
use crate::service::{Command, CommandReceiver, ServiceHandle};
use crate::telemetry::TraceBuilder;
use futures_util::StreamExt;
use futures_util::future::{AbortHandle, Aborted, BoxFuture, abortable};
use futures_util::stream::FuturesUnordered;
use gentianridge_core::{
    Arrival, AttemptKey, AttemptKind, CallKey, ClassKey, ClassKind, Outcome, ResultCode, TargetKey,
};
use http::{HeaderMap, StatusCode};
use reqwest::Response;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Data that all attempts of a call share.
#[derive(Clone)]
pub(crate) struct CallContext {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) service: Arc<ServiceHandle>,
    pub(crate) class: ClassKey,
    pub(crate) kind: ClassKind,
    pub(crate) deadline: Instant,
    pub(crate) silence: Duration,
    pub(crate) request: Arc<IncomingRequest>,
}

/// A slot that the service granted on a target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Grant {
    pub(crate) attempt: AttemptKey,
    pub(crate) target: TargetKey,
    pub(crate) kind: AttemptKind,
}

/// The answer that is forwarded to the caller, with the slot that it still occupies.
pub(crate) struct Delivered {
    pub(crate) response: Response,
    pub(crate) slot: SlotGuard,
}

/// Frees the slot of a delivered attempt when the answer ends.
pub(crate) struct SlotGuard {
    service: Arc<ServiceHandle>,
    attempt: AttemptKey,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.service.finished(self.attempt);
    }
}

/// A call that waits or runs; dropping it before its end cancels it.
pub(crate) struct Call {
    cx: CallContext,
    key: CallKey,
    rx: CommandReceiver,
    is_finished: bool,
    has_silent_attempt: bool,
    attempts: FuturesUnordered<BoxFuture<'static, Result<AttemptEnd, Aborted>>>,
    aborts: Vec<(AttemptKey, AbortHandle)>,
    ready: Vec<(AttemptKey, Response)>,
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.is_finished {
            self.cx.service.cancel(self.key);
        }
    }
}

impl Call {
    /// Submits the call to its service.
    pub(crate) fn start(cx: &CallContext) -> Self {
        let arrival = Arrival {
            class: cx.class,
            kind: cx.kind,
            deadline: cx.deadline,
            time_left: None,
            is_replayable: cx.request.is_replayable(),
            workspace: None,
        };
        let (key, rx) = cx.service.arrive(arrival);
        Self {
            cx: cx.clone(),
            key,
            rx,
            is_finished: false,
            has_silent_attempt: false,
            attempts: FuturesUnordered::new(),
            aborts: Vec::new(),
            ready: Vec::new(),
        }
    }

    /// Waits until the service grants the first slot.
    pub(crate) async fn wait_grant(&mut self) -> Result<Grant, ResultCode> {
        match self.rx.recv().await {
            Some(Command::Dispatch {
                attempt,
                target,
                kind,
            }) => Ok(Grant {
                attempt,
                target,
                kind,
            }),
            Some(Command::Refuse(code)) => {
                self.is_finished = true;
                Err(code)
            }
            Some(Command::Deliver { .. } | Command::Cancel { .. }) | None => {
                Err(ResultCode::NoTarget)
            }
        }
    }

    /// Sends the request to the granted target and executes the commands of the
    /// service until the call ends.
    pub(crate) async fn run(
        mut self,
        grant: Grant,
        trace: &mut TraceBuilder,
    ) -> Result<Delivered, ResultCode> {
        self.launch(grant, trace);
        loop {
            tokio::select! {
                biased;
                Some(end) = self.attempts.next(), if !self.attempts.is_empty() => {
                    if let Ok(end) = end {
                        self.handle_end(end, trace);
                    }
                }
                command = self.rx.recv() => match command {
                    Some(Command::Dispatch { attempt, target, kind }) => {
                        self.launch(Grant { attempt, target, kind }, trace);
                    }
                    Some(Command::Cancel { attempt }) => self.abort(attempt),
                    Some(Command::Deliver { attempt }) => {
                        self.is_finished = true;
                        return self.deliver(attempt);
                    }
                    Some(Command::Refuse(code)) => {
                        self.is_finished = true;
                        return Err(code);
                    }
                    None => return Err(ResultCode::AttemptFailed),
                },
            }
        }
    }

    fn launch(&mut self, grant: Grant, trace: &mut TraceBuilder) {
        let cx = &self.cx;
        let now = cx.fleet.clock.now();
        let name = cx
            .service
            .read(|machine, _| machine.get_target(grant.target).map(|t| t.name.clone()));
        let index = trace.start(now, &name.unwrap_or_default(), grant.kind);
        let plan = AttemptPlan {
            fleet: cx.fleet.clone(),
            service: cx.service.clone(),
            request: cx.request.clone(),
            kind: cx.kind,
            attempt: grant.attempt,
            target: grant.target,
            index,
            deadline: cx.deadline,
            silence_deadline: get_silence_deadline(cx, now),
            has_silent_attempt: self.has_silent_attempt,
        };
        let (attempt, abort) = abortable(plan.run());
        self.aborts.push((grant.attempt, abort));
        self.attempts.push(Box::pin(attempt));
    }

    fn abort(&mut self, attempt: AttemptKey) {
        for (_, abort) in self.aborts.iter().filter(|(key, _)| *key == attempt) {
            abort.abort();
        }
    }

    fn handle_end(&mut self, end: AttemptEnd, trace: &mut TraceBuilder) {
        let now = self.cx.fleet.clock.now();
        let response = match end.result {
            Ok(response) => response,
            Err(outcome) => {
                let outcome = self.check_quarantine(outcome);
                self.has_silent_attempt |= outcome == Outcome::Silent;
                trace.end(now, end.index, outcome.as_str());
                self.cx.service.failed(end.attempt, outcome);
                return;
            }
        };
        self.record_report(end.target, end.attempt, response.headers());
        let is_retried_by_target = response.headers().contains_key(RETRIED);
        if headers::is_not_run(response.headers()) {
            let outcome = if is_retried_by_target {
                Outcome::Declined
            } else {
                Outcome::Shed
            };
            trace.end(now, end.index, outcome.as_str());
            self.cx.service.failed(end.attempt, outcome);
            return;
        }
        trace.end(now, end.index, response.status().as_str());
        let is_error = is_server_error(response.status()) && self.cx.kind.is_idempotent();
        if !is_error {
            self.record_success();
        }
        self.ready.push((end.attempt, response));
        self.cx
            .service
            .answered(end.attempt, is_error, is_retried_by_target);
    }

    /// Turns a broken connection into `Quarantined` if the request has been
    /// quarantined in the meantime, so that no further attempt crashes a target.
    fn check_quarantine(&self, outcome: Outcome) -> Outcome {
        let fingerprint = self.cx.request.get_fingerprint();
        let is_quarantined = || self.cx.fleet.quarantine.lock().is_quarantined(fingerprint);
        if outcome == Outcome::Broken && is_quarantined() {
            return Outcome::Quarantined;
        }
        outcome
    }

    fn record_report(&self, target: TargetKey, attempt: AttemptKey, headers: &HeaderMap) {
        if let Some(report) = read_report(headers) {
            self.cx
                .fleet
                .record_load_report(&self.cx.service, target, Some(attempt), report);
        }
    }

    fn record_success(&self) {
        let fingerprint = self.cx.request.get_fingerprint();
        let me = &self.cx.fleet.me;
        self.cx
            .fleet
            .quarantine
            .lock()
            .record_success(me, fingerprint);
    }

    fn deliver(&mut self, attempt: AttemptKey) -> Result<Delivered, ResultCode> {
        let slot = SlotGuard {
            service: self.cx.service.clone(),
            attempt,
        };
        let index = self.ready.iter().position(|(key, _)| *key == attempt);
        match index {
            Some(index) => Ok(Delivered {
                response: self.ready.swap_remove(index).1,
                slot,
            }),
            None => Err(ResultCode::AttemptFailed),
        }
    }
}

/// Returns the time by which the head of the answer has to arrive.
///
/// A call of kind once waits until its deadline, since it cannot be retried.
fn get_silence_deadline(cx: &CallContext, now: Instant) -> Instant {
    match cx.kind {
        ClassKind::Once => cx.deadline,
        ClassKind::Interactive | ClassKind::Background => now + cx.silence,
    }
}

fn is_server_error(status: StatusCode) -> bool {
    status.is_server_error()
}
