//! One attempt on one target.

use super::announcements::Announcements;
use super::answer::{Answer, AnswerBody};
use super::body::AnswerBuffer;
use super::connections::{Connection, ReusePolicy, SendError, describe_error};
use super::request::CallerRequest;
use super::state::Gateway;
use crate::caller::headers::{get_text, is_final_status};
use crate::service::ServiceHandle;
use bytes::Bytes;
use gentianridge_adapter::parse_load;
use gentianridge_core::{AttemptKey, ClassKind, Incarnation, LoadReport, Outcome, TargetKey};
use http::{HeaderMap, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
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

/// Failure of an attempt that gave no answer to forward.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) outcome: Outcome,
    /// Reason for the failure, for the log.
    pub(crate) detail: SmolStr,
    /// True if the connection ended after the request was sent.
    is_connection_lost: bool,
}

/// Parameters of one attempt.
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

struct AttemptTarget {
    addr: SocketAddr,
    incarnation: Incarnation,
}

impl AttemptPlan {
    /// Divisor of the objective that gives the connect timeout, so that another
    /// target can still answer within the objective.
    const CONNECT_DIVISOR: u32 = 5;
    /// Minimum connect timeout; allows for one lost SYN packet between regions
    /// at most, see docs/decisions/0013-platform.md.
    const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
    /// Connect timeout of the liveness check after a lost connection; in the
    /// same region a round trip takes a few milliseconds.
    const LIVENESS_TIMEOUT: Duration = Duration::from_millis(150);
    /// Maximum time since the last answer on a connection that is reused for a
    /// once-only request, which cannot be sent again if the connection is dead.
    const MAX_IDLE_FOR_ONCE: Duration = Duration::from_secs(2);
    /// Size in bytes up to which a body is buffered before its first byte is
    /// forwarded. If a buffered body is truncated, the request can still be sent
    /// to another target.
    const MAX_BUFFERED_BODY: usize = 256 * 1024;

    /// Sends the request and waits for the answer.
    pub(crate) async fn run(self) -> AttemptEnd {
        let mut report = None;
        let mut result = self.exchange(&mut report).await;
        if let Err(failure) = &mut result {
            self.check_crash(failure).await;
        }
        AttemptEnd {
            attempt: self.attempt,
            target: self.target,
            report,
            result,
        }
    }

    async fn exchange(&self, report: &mut Option<LoadReport>) -> Result<Answer, Failure> {
        let target = self
            .find_target()
            .ok_or_else(|| make_failure(Outcome::Withdrawn, "the target is no longer declared"))?;
        let (connection, response) = self.send(&target).await?;
        if !is_final_status(response.status()) {
            let detail = format!("status {} ends no answer", response.status().as_u16());
            return Err(make_failure(Outcome::Broken, detail));
        }
        let announcements = self.gateway.record_announcements(
            &target.incarnation,
            response.status(),
            response.headers(),
        );
        *report = get_text(response.headers(), &self.gateway.headers.load)
            .and_then(|text| parse_load(&text));
        self.check_head(
            &target,
            response.status(),
            response.headers(),
            announcements,
        )?;
        self.read_answer(target, connection, response).await
    }

    /// Records a crash if the target no longer accepts connections. If that
    /// quarantines the request, the outcome is changed so that the request is
    /// not sent to another target.
    async fn check_crash(&self, failure: &mut Failure) {
        let Some(target) = self.find_target().filter(|_| failure.is_connection_lost) else {
            return;
        };
        let fingerprint = self.request.fingerprint;
        if self.is_alive(&target).await {
            return;
        }
        if self.gateway.record_crash(target.addr, fingerprint) {
            failure.outcome = Outcome::Quarantined;
        }
    }

    /// Returns true if the target accepts a new connection, which a crashed one
    /// does not. The connection is kept for later requests.
    async fn is_alive(&self, target: &AttemptTarget) -> bool {
        let now = self.gateway.clock.now();
        self.gateway.metrics.record_connection("opened");
        match timeout_at(
            (now + Self::LIVENESS_TIMEOUT).into(),
            Connection::open(target.addr, now),
        )
        .await
        {
            Ok(Ok(connection)) => {
                self.gateway
                    .keep_connection(target.incarnation.clone(), connection);
                true
            }
            Ok(Err(_)) | Err(_) => false,
        }
    }

    fn find_target(&self) -> Option<AttemptTarget> {
        self.service.read(|machine, _| {
            let spec = machine.get_target(self.target)?;
            Some(AttemptTarget {
                addr: spec.addr,
                incarnation: spec.get_incarnation(),
            })
        })
    }

    /// Sends the request on an idle connection or on a new one. If an idle
    /// connection is closed before any byte is sent, a new one replaces it.
    async fn send(
        &self,
        target: &AttemptTarget,
    ) -> Result<(Connection, Response<Incoming>), Failure> {
        if self.request.body.is_flowing() {
            return self.send_flow(target).await;
        }
        let now = self.gateway.clock.now();
        let reuse = match self.kind {
            ClassKind::Once => ReusePolicy::AnsweredWithin(Self::MAX_IDLE_FOR_ONCE),
            ClassKind::Interactive | ClassKind::Background => ReusePolicy::AnyUsable,
        };
        if let Some(mut connection) = self
            .gateway
            .connections
            .take(now, &target.incarnation, reuse)
        {
            self.gateway.metrics.record_connection("reused");
            match self.send_on(target, &mut connection).await {
                Err(SendFailure::NothingSent) => {}
                Err(SendFailure::Final(failure)) => return Err(failure),
                Ok(response) => return Ok((connection, response)),
            }
        }
        let mut connection = self.open(target).await?;
        match self.send_on(target, &mut connection).await {
            Ok(response) => Ok((connection, response)),
            Err(SendFailure::NothingSent) => Err(make_failure(
                Outcome::Refused,
                "the new connection closed before any byte was sent",
            )),
            Err(SendFailure::Final(failure)) => Err(failure),
        }
    }

    /// Sends a body that is forwarded as it arrives, on a connection of its own: its start
    /// cannot be sent again, and a target that answers early must get nothing else where the
    /// rest of the body is due.
    async fn send_flow(
        &self,
        target: &AttemptTarget,
    ) -> Result<(Connection, Response<Incoming>), Failure> {
        let mut connection = self.open(target).await?;
        connection.set_single_use();
        match self.send_on(target, &mut connection).await {
            Ok(response) => Ok((connection, response)),
            Err(SendFailure::NothingSent) => Err(make_failure(
                Outcome::Refused,
                "the new connection closed before any byte was sent",
            )),
            // The target is not at fault.
            Err(SendFailure::Final(_)) if self.request.body.is_broken() => Err(make_failure(
                Outcome::TimedOut,
                "the caller did not send the rest of the body",
            )),
            Err(SendFailure::Final(failure)) => Err(failure),
        }
    }

    async fn open(&self, target: &AttemptTarget) -> Result<Connection, Failure> {
        let now = self.gateway.clock.now();
        let limit = (self.objective / Self::CONNECT_DIVISOR).max(Self::MIN_CONNECT_TIMEOUT);
        let until = self.deadline.min(now + limit);
        self.gateway.metrics.record_connection("opened");
        match timeout_at(until.into(), Connection::open(target.addr, now)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => Err(make_failure(
                Outcome::Refused,
                format!("no connection: {error}"),
            )),
            Err(_) => Err(make_failure(
                Outcome::Refused,
                format!("no connection within {} ms", limit.as_millis()),
            )),
        }
    }

    async fn send_on(
        &self,
        target: &AttemptTarget,
        connection: &mut Connection,
    ) -> Result<Response<Incoming>, SendFailure> {
        let check = self.gateway.check_send(&target.incarnation, self.deadline);
        if let Err(reason) = check.await {
            return Err(SendFailure::Final(make_failure(Outcome::Withdrawn, reason)));
        }
        if !self.service.claim_send(self.attempt) {
            return Err(SendFailure::Final(make_failure(
                Outcome::Withdrawn,
                "the target is cold and this VM's part of its rate is used up",
            )));
        }
        let now = self.gateway.clock.now();
        let time_left = self
            .gateway
            .limit_work(self.deadline)
            .saturating_duration_since(now);
        let request = self
            .request
            .make_request(&self.gateway, &target.incarnation.id, time_left);
        match timeout_at(self.deadline.into(), connection.send(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(SendError::NothingSent(error))) => {
                log::debug!("connection to {} closed before use: {error}", target.addr);
                Err(SendFailure::NothingSent)
            }
            Ok(Err(SendError::Unknown(error))) => Err(SendFailure::Final(make_connection_loss(
                format!("no answer: {}", describe_error(&error)),
            ))),
            Err(_) => Err(SendFailure::Final(make_failure(
                Outcome::TimedOut,
                "no answer before the deadline",
            ))),
        }
    }

    /// Checks that the answer is the target's own answer to this request.
    fn check_head(
        &self,
        target: &AttemptTarget,
        status: StatusCode,
        headers: &HeaderMap,
        announcements: Announcements,
    ) -> Result<(), Failure> {
        let names = &self.gateway.headers;
        let echoed = get_text(headers, &names.attempt_id);
        if echoed.as_ref().is_some_and(|id| *id != self.request.id) {
            return Err(make_failure(
                Outcome::Broken,
                "the answer echoes the attempt ID of another request",
            ));
        }
        // Without the ID even a refusal may be a late copy of an earlier one, so that it
        // says nothing about this request.
        if echoed.is_none() && !self.request.id.is_empty() {
            return Err(make_failure(
                Outcome::Broken,
                "the answer does not echo the attempt ID",
            ));
        }
        if status == StatusCode::MISDIRECTED_REQUEST {
            self.gateway.remove_replaced(&target.incarnation);
            return Err(make_failure(
                Outcome::Shed,
                "another target answers at this address",
            ));
        }
        if headers.contains_key(&names.not_run) {
            let outcome = if announcements.requests_pause {
                Outcome::Paused
            } else {
                Outcome::Shed
            };
            return Err(make_failure(
                outcome,
                format!("not run, status {}", status.as_u16()),
            ));
        }
        let is_verifiable = headers.contains_key(&names.signature)
            && !headers.contains_key(header::CONTENT_ENCODING);
        if status.is_success() && !is_verifiable {
            return Err(make_failure(
                Outcome::Broken,
                "the answer is unsigned or has a Content-Encoding",
            ));
        }
        if is_not_run_status(status) {
            let outcome = if announcements.requests_pause {
                Outcome::PausedUnknown
            } else {
                Outcome::Broken
            };
            return Err(make_failure(
                outcome,
                format!("status {} without the not-executed header", status.as_u16()),
            ));
        }
        Ok(())
    }

    async fn read_answer(
        &self,
        target: AttemptTarget,
        mut connection: Connection,
        response: Response<Incoming>,
    ) -> Result<Answer, Failure> {
        let (head, mut body) = response.into_parts();
        let memory = self.request.memory.reserve_nothing();
        let mut buf = AnswerBuffer::new(memory, body.size_hint().exact());
        let mut unbuffered = Bytes::new();
        while buf.get_length() <= Self::MAX_BUFFERED_BODY && unbuffered.is_empty() {
            let frame = timeout_at(self.deadline.into(), body.frame())
                .await
                .map_err(|_| {
                    make_failure(Outcome::TimedOut, "the body was incomplete at the deadline")
                })?;
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        connection.record_body_part();
                        let left = buf.push(&data).len();
                        unbuffered = data.slice(data.len() - left..);
                    }
                }
                Some(Err(error)) => {
                    return Err(make_connection_loss(format!(
                        "the body was truncated: {}",
                        describe_error(&error)
                    )));
                }
                None => {
                    let now = self.gateway.clock.now();
                    if connection.record_answer(now, &head.headers) {
                        self.gateway.keep_connection(target.incarnation, connection);
                    }
                    let (chunks, memory) = buf.into_parts();
                    let body = AnswerBody::complete(chunks, memory);
                    return Ok(Answer::new(head.status, head.headers, body));
                }
            }
        }
        let (mut chunks, memory) = buf.into_parts();
        if !unbuffered.is_empty() {
            chunks.push(unbuffered);
        }
        // The body owns the connection, which is closed after the body.
        let body = AnswerBody::streamed(chunks, memory, body, connection, self.deadline);
        Ok(Answer::new(head.status, head.headers, body))
    }
}

enum SendFailure {
    /// The connection was closed before any byte was sent.
    NothingSent,
    Final(Failure),
}

/// Returns true for a status that callers take as proof that the request was not
/// run. Only a target's not-executed header may assert that.
pub(crate) fn is_not_run_status(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

fn make_failure(outcome: Outcome, detail: impl Into<SmolStr>) -> Failure {
    Failure {
        outcome,
        detail: detail.into(),
        is_connection_lost: false,
    }
}

/// Builds the failure of a connection that ended after the request was sent.
fn make_connection_loss(detail: impl Into<SmolStr>) -> Failure {
    Failure {
        is_connection_lost: true,
        ..make_failure(Outcome::Broken, detail)
    }
}
