//! One attempt on one target.

use super::answer::{Answer, AnswerBody};
use super::links::{Link, SendError, Wanted};
use super::request::CallerRequest;
use super::state::Gateway;
use crate::caller::headers::get_text;
use crate::service::ServiceHandle;
use bytes::Bytes;
use gentianridge_adapter::parse_load;
use gentianridge_core::{AttemptKey, ClassKind, Incarnation, LoadReport, Outcome, TargetKey};
use http::{HeaderMap, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// How one attempt ended.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) attempt: AttemptKey,
    pub(crate) target: TargetKey,
    pub(crate) report: Option<LoadReport>,
    pub(crate) result: Result<Answer, Failure>,
}

/// An attempt without an answer to hand on.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) outcome: Outcome,
    /// What happened, for the log.
    pub(crate) detail: SmolStr,
    /// True if the connection ended under the request.
    is_cut: bool,
}

/// What an attempt needs to know.
pub(crate) struct AttemptPlan {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) service: Arc<ServiceHandle>,
    pub(crate) request: Rc<CallerRequest>,
    pub(crate) kind: ClassKind,
    pub(crate) attempt: AttemptKey,
    pub(crate) target: TargetKey,
    pub(crate) deadline: Instant,
    pub(crate) objective: Duration,
}

struct Goal {
    addr: SocketAddr,
    incarnation: Incarnation,
}

impl AttemptPlan {
    /// Part of the objective after which a connection that does not open is
    /// given up, so that another target can still answer in time.
    const CONNECT_DIVISOR: u32 = 5;
    /// Shortest time for opening a connection; covers a lost opening packet
    /// between regions no more than once, see docs/decisions/0013-platform.md.
    const MIN_CONNECT: Duration = Duration::from_millis(60);
    /// Time in which a live target opens a connection; in the same region a
    /// round trip takes a few milliseconds.
    const ALIVE: Duration = Duration::from_millis(150);
    /// Longest age of a last answer that proves a connection for work that
    /// must not repeat.
    const PROVEN: Duration = Duration::from_secs(2);
    /// Largest body that is read whole before its first byte is handed on. A
    /// body that breaks off before can still be asked for at another target.
    const BUFFERED_BODY: usize = 256 * 1024;

    /// Sends the request and waits for the answer.
    pub(crate) async fn run(self) -> AttemptEnd {
        let mut report = None;
        let mut result = self.exchange(&mut report).await;
        if let Err(failure) = &mut result {
            self.judge_crash(failure).await;
        }
        AttemptEnd {
            attempt: self.attempt,
            target: self.target,
            report,
            result,
        }
    }

    async fn exchange(&self, report: &mut Option<LoadReport>) -> Result<Answer, Failure> {
        let goal = self
            .find_goal()
            .ok_or_else(|| failure(Outcome::Withdrawn, "the target is no longer declared"))?;
        let (link, response) = self.send(&goal).await?;
        *report = get_text(response.headers(), &self.gateway.headers.load)
            .and_then(|text| parse_load(&text));
        self.check_head(&goal, response.status(), response.headers())?;
        self.read_answer(goal, link, response).await
    }

    /// Holds a request that has crashed targets from going to another one.
    async fn judge_crash(&self, failure: &mut Failure) {
        let Some(goal) = self.find_goal().filter(|_| failure.is_cut) else {
            return;
        };
        let fingerprint = self.request.fingerprint;
        if self.is_alive(&goal).await {
            return;
        }
        if self.gateway.record_crash(goal.addr, fingerprint) {
            failure.outcome = Outcome::Quarantined;
        }
    }

    /// A crashed target takes no new connection; one that does lost an answer.
    /// The connection is kept for what comes next.
    async fn is_alive(&self, goal: &Goal) -> bool {
        let now = self.gateway.clock.now();
        self.gateway.metrics.record_connection("opened");
        match timeout_at((now + Self::ALIVE).into(), Link::open(goal.addr, now)).await {
            Ok(Ok(link)) => {
                self.gateway.keep_link(goal.incarnation.clone(), link);
                true
            }
            Ok(Err(_)) | Err(_) => false,
        }
    }

    fn find_goal(&self) -> Option<Goal> {
        self.service.read(|machine, _| {
            let spec = machine.get_target(self.target)?;
            Some(Goal {
                addr: spec.addr,
                incarnation: spec.get_incarnation(),
            })
        })
    }

    /// Sends on a kept connection or a new one; a kept one that turns out to
    /// be closed before a byte has left is replaced.
    async fn send(&self, goal: &Goal) -> Result<(Link, Response<Incoming>), Failure> {
        let now = self.gateway.clock.now();
        let wanted = match self.kind {
            ClassKind::Once => Wanted::AnsweredWithin(Self::PROVEN),
            ClassKind::Interactive | ClassKind::Background => Wanted::Kept,
        };
        if let Some(mut link) = self.gateway.links.take(now, &goal.incarnation, wanted) {
            self.gateway.metrics.record_connection("reused");
            match self.send_on(goal, &mut link).await {
                Err(SendFailure::Nothing) => {}
                Err(SendFailure::Final(failure)) => return Err(failure),
                Ok(response) => return Ok((link, response)),
            }
        }
        let mut link = self.open(goal).await?;
        match self.send_on(goal, &mut link).await {
            Ok(response) => Ok((link, response)),
            Err(SendFailure::Nothing) => Err(failure(
                Outcome::Refused,
                "the new connection closed before a byte left",
            )),
            Err(SendFailure::Final(failure)) => Err(failure),
        }
    }

    async fn open(&self, goal: &Goal) -> Result<Link, Failure> {
        let now = self.gateway.clock.now();
        let limit = (self.objective / Self::CONNECT_DIVISOR).max(Self::MIN_CONNECT);
        let until = self.deadline.min(now + limit);
        self.gateway.metrics.record_connection("opened");
        match timeout_at(until.into(), Link::open(goal.addr, now)).await {
            Ok(Ok(link)) => Ok(link),
            Ok(Err(error)) => Err(failure(Outcome::Refused, format!("no connection: {error}"))),
            Err(_) => Err(failure(
                Outcome::Refused,
                format!("no connection within {} ms", limit.as_millis()),
            )),
        }
    }

    async fn send_on(
        &self,
        goal: &Goal,
        link: &mut Link,
    ) -> Result<Response<Incoming>, SendFailure> {
        let now = self.gateway.clock.now();
        let time_left = self.deadline.saturating_duration_since(now);
        let request = self
            .request
            .make(&self.gateway, &goal.incarnation.id, time_left);
        match timeout_at(self.deadline.into(), link.send(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(SendError::NothingSent(error))) => {
                log::debug!("connection to {} closed unused: {error}", goal.addr);
                Err(SendFailure::Nothing)
            }
            Ok(Err(SendError::Unknown(error))) => {
                Err(SendFailure::Final(cut(format!("no answer: {error}"))))
            }
            Err(_) => Err(SendFailure::Final(failure(
                Outcome::TimedOut,
                "no answer before the deadline",
            ))),
        }
    }

    /// Decides whether the answer is one to this request.
    fn check_head(
        &self,
        goal: &Goal,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<(), Failure> {
        let names = &self.gateway.headers;
        let echoed = get_text(headers, &names.attempt_id);
        if echoed.as_ref().is_some_and(|id| *id != self.request.id) {
            return Err(failure(Outcome::Broken, "the answer is to another request"));
        }
        if status == StatusCode::MISDIRECTED_REQUEST {
            self.gateway.forget_replaced(&goal.incarnation);
            return Err(failure(Outcome::Shed, "another target has the address"));
        }
        if headers.contains_key(&names.not_run) {
            return Err(failure(
                Outcome::Shed,
                format!("not run, status {}", status.as_u16()),
            ));
        }
        if echoed.is_none() && !self.request.id.is_empty() {
            return Err(failure(Outcome::Broken, "the answer names no request"));
        }
        let is_proven = headers.contains_key(&names.signature)
            && !headers.contains_key(header::CONTENT_ENCODING);
        if status.is_success() && !is_proven {
            return Err(failure(Outcome::Broken, "the answer is not the target's"));
        }
        if promises_not_run(status) {
            return Err(failure(
                Outcome::Broken,
                format!("status {} without a word on the run", status.as_u16()),
            ));
        }
        Ok(())
    }

    async fn read_answer(
        &self,
        goal: Goal,
        mut link: Link,
        response: Response<Incoming>,
    ) -> Result<Answer, Failure> {
        let (head, mut body) = response.into_parts();
        let mut chunks: Vec<Bytes> = Vec::new();
        let mut size = 0;
        while size <= Self::BUFFERED_BODY {
            let frame = timeout_at(self.deadline.into(), body.frame())
                .await
                .map_err(|_| failure(Outcome::TimedOut, "the body did not end in time"))?;
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        size += data.len();
                        chunks.push(data);
                    }
                }
                Some(Err(error)) => {
                    return Err(cut(format!("the body broke off: {error}")));
                }
                None => {
                    let now = self.gateway.clock.now();
                    if link.note_answer(now, &head.headers) {
                        self.gateway.keep_link(goal.incarnation, link);
                    }
                    let body = AnswerBody::whole(chunks);
                    return Ok(Answer::new(head.status, head.headers, body));
                }
            }
        }
        // The connection stays with the body and ends with it.
        let body = AnswerBody::streamed(chunks, body, link);
        Ok(Answer::new(head.status, head.headers, body))
    }
}

enum SendFailure {
    /// No byte left; the connection was closed before.
    Nothing,
    Final(Failure),
}

/// Callers read these statuses as a promise that only a target's own word may give.
pub(crate) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

fn failure(outcome: Outcome, detail: impl Into<SmolStr>) -> Failure {
    Failure {
        outcome,
        detail: detail.into(),
        is_cut: false,
    }
}

/// The connection ended after the request was sent.
fn cut(detail: impl Into<SmolStr>) -> Failure {
    Failure {
        is_cut: true,
        ..failure(Outcome::Broken, detail)
    }
}
