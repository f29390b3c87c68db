//! One request, from its arrival at a service to its answer.

use super::answer::{Answer, SlotGuard};
use super::attempt::{AttemptEnd, AttemptPlan};
use super::request::CallerRequest;
use super::state::Gateway;
use crate::service::{Command, CommandReceiver, ServiceHandle};
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt};
use gentianridge_core::{
    Arrival, AttemptKey, AttemptKind, CallKey, ClassKey, ClassKind, ResultCode, TargetKey,
    WorkspaceKey,
};
use smol_str::SmolStr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// State of a request that its attempts share.
#[derive(Clone)]
pub(crate) struct CallContext {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) service: Arc<ServiceHandle>,
    pub(crate) class: ClassKey,
    pub(crate) kind: ClassKind,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) objective: Duration,
    /// Workspace of the caller, if the configuration has workspaces.
    pub(crate) workspace: Option<WorkspaceKey>,
    pub(crate) request: Rc<CallerRequest>,
    /// Cancelled when the caller closes the connection.
    pub(crate) caller_gone: CancellationToken,
}

/// An attempt under way.
struct RunningAttempt {
    attempt: AttemptKey,
    target: SmolStr,
    started: Instant,
    abort: CancellationToken,
}

/// A request that waits or runs; dropping it cancels it.
pub(crate) struct Call {
    cx: CallContext,
    key: CallKey,
    rx: CommandReceiver,
    is_finished: bool,
    may_have_run: bool,
    futures: FuturesUnordered<LocalBoxFuture<'static, Option<AttemptEnd>>>,
    running: Vec<RunningAttempt>,
    /// Answers for which the service has sent no `Deliver` command.
    answers: Vec<(AttemptKey, Answer)>,
    /// Number of attempts started.
    attempts: u32,
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.is_finished {
            self.cx.service.cancel(self.key);
        }
    }
}

/// How a request ended.
pub(crate) struct CallEnd {
    pub(crate) result: Result<(Answer, SlotGuard), ResultCode>,
    pub(crate) attempts: u32,
}

impl Call {
    /// Adds the request to the queue of its service.
    pub(crate) fn start(cx: CallContext) -> Self {
        let arrival = Arrival {
            class: cx.class,
            kind: cx.kind,
            deadline: cx.deadline,
            time_left: cx.request.time_left,
            is_replayable: !cx.request.body.is_flowing(),
            workspace: cx.workspace,
        };
        let (key, rx) = cx.service.arrive(arrival);
        Self {
            cx,
            key,
            rx,
            is_finished: false,
            may_have_run: false,
            futures: FuturesUnordered::new(),
            running: Vec::new(),
            answers: Vec::new(),
            attempts: 0,
        }
    }

    /// Executes the service's commands until the request is answered or refused.
    ///
    /// The call enforces the deadline itself: the service bounds the wait in its
    /// queue, and each attempt ends at the deadline, but the caller must get a
    /// refusal at the deadline even if neither of them reports an end.
    pub(crate) async fn run(mut self) -> CallEnd {
        let result = self.drive().await;
        self.is_finished |= result.is_ok();
        CallEnd {
            result,
            attempts: self.attempts,
        }
    }

    async fn drive(&mut self) -> Result<(Answer, SlotGuard), ResultCode> {
        let deadline = tokio::time::sleep_until(self.cx.deadline.into());
        tokio::pin!(deadline);
        let gone = self.cx.caller_gone.clone();
        let gateway = self.cx.gateway.clone();
        let answers_due = gateway.wait_answers_due();
        tokio::pin!(answers_due);
        loop {
            let is_cancellable = self.is_cancellable();
            tokio::select! {
                biased;
                Some(end) = self.futures.next(), if !self.futures.is_empty() => {
                    if let Some(end) = end {
                        self.finish_attempt(end);
                    }
                }
                command = self.rx.recv() => match command {
                    Some(Command::Dispatch { attempt, target, kind }) => {
                        self.start_attempt(attempt, target, kind);
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
                () = &mut deadline => return Err(self.get_end_code(ResultCode::DeadlinePassed)),
                () = &mut answers_due => return Err(self.get_end_code(ResultCode::Stopping)),
                () = gone.cancelled(), if is_cancellable => return Err(ResultCode::CallerGone),
            }
        }
    }

    /// Returns true if the call may end when the caller disconnects. A
    /// once-only request that was sent runs to its end.
    fn is_cancellable(&self) -> bool {
        self.cx.kind.is_idempotent() || (self.running.is_empty() && !self.may_have_run)
    }

    /// Returns the code of a call that ends without an answer, `not_run` if it was not
    /// sent to any target.
    fn get_end_code(&self, not_run: ResultCode) -> ResultCode {
        if self.may_have_run || !self.running.is_empty() {
            ResultCode::AttemptTimeout
        } else {
            not_run
        }
    }

    fn start_attempt(&mut self, attempt: AttemptKey, target: TargetKey, kind: AttemptKind) {
        let cx = &self.cx;
        let now = cx.gateway.clock.now();
        let (name, placement) = cx.service.read(|machine, now| {
            let name = machine.get_target(target).map(|t| t.name.clone());
            (
                name.unwrap_or_default(),
                machine.get_placement_inputs(now, target),
            )
        });
        self.attempts += 1;
        let waited = now.saturating_duration_since(cx.arrived);
        cx.gateway
            .metrics
            .record_send(&cx.service.name, kind, waited);
        log::info!(
            target: "attempt",
            request = cx.request.id.as_str(),
            service = cx.service.name.as_str(),
            target = name.as_str(),
            kind = kind.as_str(),
            waited_ms = waited.as_millis() as u64,
            own = placement.own,
            slots = placement.slots,
            waiting = placement.waiting,
            report_age_ms = placement.report_age.map(|age| age.as_millis() as u64),
            work_percent = placement.work_percent;
            "sent"
        );
        let abort = CancellationToken::new();
        self.running.push(RunningAttempt {
            attempt,
            target: name,
            started: now,
            abort: abort.clone(),
        });
        let plan = AttemptPlan {
            gateway: cx.gateway.clone(),
            service: cx.service.clone(),
            request: cx.request.clone(),
            kind: cx.kind,
            attempt,
            target,
            deadline: cx.deadline,
            objective: cx.objective,
        };
        let future = async move {
            tokio::select! {
                end = plan.run() => Some(end),
                () = abort.cancelled() => None,
            }
        };
        self.futures.push(future.boxed_local());
    }

    fn abort(&mut self, attempt: AttemptKey) {
        for running in self.running.iter().filter(|r| r.attempt == attempt) {
            running.abort.cancel();
        }
        self.running.retain(|running| running.attempt != attempt);
    }

    fn finish_attempt(&mut self, end: AttemptEnd) {
        let index = self.running.iter().position(|r| r.attempt == end.attempt);
        let Some(running) = index.map(|index| self.running.swap_remove(index)) else {
            return;
        };
        let cx = &self.cx;
        if let Some(report) = end.report {
            cx.service.report(end.target, Some(end.attempt), report);
        }
        let now = cx.gateway.clock.now();
        let took = now.saturating_duration_since(running.started);
        let took_ms = took.as_millis() as u64;
        let outcome = match &end.result {
            Ok(_) => "answered",
            Err(failure) => failure.outcome.as_str(),
        };
        cx.gateway
            .metrics
            .record_attempt(&cx.service.name, outcome, took);
        match end.result {
            Ok(answer) => {
                log::info!(
                    target: "attempt",
                    request = cx.request.id.as_str(),
                    target = running.target.as_str(),
                    status = answer.status.as_u16(),
                    took_ms = took_ms;
                    "answered"
                );
                cx.gateway.record_success(cx.request.fingerprint);
                let is_error = answer.status.is_server_error() && cx.kind.is_idempotent();
                self.answers.push((end.attempt, answer));
                cx.service.answered(end.attempt, is_error, false);
            }
            Err(failure) => {
                self.may_have_run |= !failure.outcome.is_not_run();
                log::warn!(
                    target: "attempt",
                    request = cx.request.id.as_str(),
                    target = running.target.as_str(),
                    outcome = failure.outcome.as_str(),
                    may_have_run = !failure.outcome.is_not_run(),
                    took_ms = took_ms;
                    "failed: {}",
                    failure.detail
                );
                cx.service.failed(end.attempt, failure.outcome);
            }
        }
    }

    fn deliver(&mut self, attempt: AttemptKey) -> Result<(Answer, SlotGuard), ResultCode> {
        let slot = SlotGuard {
            service: self.cx.service.clone(),
            attempt,
        };
        let index = self.answers.iter().position(|(key, _)| *key == attempt);
        match index {
            Some(index) => Ok((self.answers.swap_remove(index).1, slot)),
            None => Err(ResultCode::AttemptFailed),
        }
    }
}
