//! One attempt on one target.

use super::headers::{self, REQUEST_ID};
use super::incoming::IncomingRequest;
use crate::fleet::Fleet;
use crate::service::{ClientError, ServiceHandle, TargetPool};
use gentianridge_core::{AttemptKey, ClassKind, EventKind, Outcome, TargetKey};
use http::header;
use reqwest::{Request, Response, Url};
use std::sync::Arc;
use std::time::Instant;

/// How one attempt ended.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) attempt: AttemptKey,
    pub(crate) target: TargetKey,
    /// Position in the trace of the call.
    pub(crate) index: usize,
    pub(crate) result: Result<Response, Outcome>,
}

/// Inputs of one attempt.
#[derive(Clone)]
pub(crate) struct AttemptPlan {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) service: Arc<ServiceHandle>,
    pub(crate) request: Arc<IncomingRequest>,
    pub(crate) kind: ClassKind,
    pub(crate) attempt: AttemptKey,
    pub(crate) target: TargetKey,
    pub(crate) index: usize,
    pub(crate) deadline: Instant,
    /// Time by which the head of the answer has to arrive, or the connection
    /// counts as silent.
    pub(crate) silence_deadline: Instant,
    /// True if an earlier attempt of the call ended as [`Outcome::Silent`].
    pub(crate) has_silent_attempt: bool,
}

impl AttemptPlan {
    /// Sends the request and waits for the head of the answer.
    pub(crate) async fn run(self) -> AttemptEnd {
        let result = self.send().await;
        if matches!(result, Err(Outcome::Broken)) {
            self.fleet.record_crash(self.request.get_fingerprint());
        }
        AttemptEnd {
            attempt: self.attempt,
            target: self.target,
            index: self.index,
            result,
        }
    }

    async fn send(&self) -> Result<Response, Outcome> {
        let (pool, request) = self.prepare().ok_or(Outcome::Withdrawn)?;
        let limit = self.deadline.min(self.silence_deadline);
        let client = match self.kind {
            ClassKind::Once => &self.fleet.once_client,
            ClassKind::Interactive | ClassKind::Background => &pool.client,
        };
        let sending = client.execute(request);
        match tokio::time::timeout_at(limit.into(), sending).await {
            Ok(Ok(response)) if headers::is_final_status(response.status()) => Ok(response),
            Ok(Ok(_)) => Err(Outcome::Broken),
            Ok(Err(error)) => Err(get_outcome(error)),
            Err(_) if self.silence_deadline < self.deadline => {
                self.discard_pool(&pool);
                Err(Outcome::Silent)
            }
            Err(_) => Err(Outcome::TimedOut),
        }
    }

    fn prepare(&self) -> Option<(Arc<TargetPool>, Request)> {
        let (addr, connections) = self.service.read(|machine, _| {
            machine
                .get_target(self.target)
                .map(|t| (t.addr, t.connections))
        })?;
        let pools = &self.service.pools;
        let index = self.target.get_index();
        let mut pool = pools.get(index, addr, connections);
        if self.has_silent_attempt {
            // Whatever made one connection silent, such as a middlebox that dropped
            // its state, may affect the others in the pool as well.
            pools.discard(index, &pool);
            pool = pools.get(index, addr, connections);
        }
        let head = &self.request.head;
        let url: Url = format!("http://{addr}{}", head.path_and_query)
            .parse()
            .ok()?;
        let mut request = Request::new(head.method.clone(), url);
        self.set_headers(&mut request);
        let body = self.request.get_body()?;
        if !is_empty(&body) {
            *request.body_mut() = Some(body);
        }
        Some((pool, request))
    }

    fn set_headers(&self, request: &mut Request) {
        let head = &self.request.head;
        let to = request.headers_mut();
        headers::copy_end_to_end(&head.headers, to);
        if self.request.is_replayable() {
            to.remove(header::CONTENT_LENGTH);
        }
        headers::add_forwarded(to, head.caller);
        headers::set_text(to, REQUEST_ID, &head.id);
        let remaining = self
            .deadline
            .saturating_duration_since(self.fleet.clock.now());
        headers::set_timeout(to, remaining);
    }

    fn discard_pool(&self, pool: &Arc<TargetPool>) {
        if !self.service.pools.discard(self.target.get_index(), pool) {
            return;
        }
        let target = self
            .service
            .read(|machine, _| machine.get_target(self.target).map(|t| t.name.clone()));
        self.fleet.journal.record(EventKind::ConnectionsReplaced {
            service: self.service.name.clone(),
            target: target.unwrap_or_default(),
        });
    }
}

fn is_empty(body: &reqwest::Body) -> bool {
    body.as_bytes().is_some_and(<[u8]>::is_empty)
}

fn get_outcome(error: ClientError) -> Outcome {
    match error {
        ClientError::NotConnected => Outcome::Refused,
        // The target is not at fault.
        ClientError::CallerBody => Outcome::TimedOut,
        ClientError::Broken => Outcome::Broken,
    }
}
