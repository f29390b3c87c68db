//! A connection to a target.

use crate::gateway::body::OutgoingBody;
use crate::gateway::counted::{ByteCounts, CountedStream};
use crate::stream::{AnswerOverhead, TargetStream};
use http::{HeaderMap, HeaderName, Request, Response, header};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Why a send ended without the head of an answer.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the request was sent, so the target cannot have run it.
    NothingSent(hyper::Error),
    /// The request may have reached the target.
    Unknown(hyper::Error),
}

/// Returns the text of an error and of its causes, which the HTTP library leaves out.
pub(crate) fn describe_error(error: &hyper::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<OutgoingBody>,
    counts: Rc<ByteCounts>,
    overhead: Arc<AnswerOverhead>,
    answered_at: Instant,
    idle_limit: Duration,
    task: AbortHandle,
    /// True if the connection must end with this value, in the middle of a request too.
    is_single_use: bool,
}

impl Drop for Connection {
    /// Closes a single-use connection, so that its target gets neither a shortened body nor
    /// another request where the rest of the body is due.
    fn drop(&mut self) {
        if self.is_single_use {
            self.task.abort();
        }
    }
}

impl Connection {
    /// Idle time after which a connection is not reused if the target states no
    /// keep-alive timeout: such a target keeps it open for less than a second.
    const DEFAULT_IDLE_LIMIT: Duration = Duration::from_millis(500);
    /// Part of the stated keep-alive timeout that is left unused, since the
    /// target starts its timer earlier and its close takes time to arrive.
    const IDLE_MARGIN: Duration = Duration::from_secs(1);
    /// Largest buffer of the HTTP library in bytes, for each direction. It bounds what is
    /// held of an answer that its caller does not read.
    const MAX_BUFFER: usize = 64 * 1024;

    /// Opens a connection.
    pub(crate) async fn open(addr: SocketAddr, now: Instant) -> io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let counts = Rc::new(ByteCounts::default());
        let overhead = Arc::new(AnswerOverhead::default());
        let stream = CountedStream::new(stream, counts.clone());
        let io = TokioIo::new(TargetStream::new(stream, overhead.clone()));
        let (sender, connection) = Builder::new()
            .max_buf_size(Self::MAX_BUFFER)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            // The request under way fails too, and `is_usable` returns false.
            if let Err(error) = connection.await {
                log::debug!("connection to {addr} ended: {error}");
            }
        });
        Ok(Self {
            sender,
            counts,
            overhead,
            answered_at: now,
            idle_limit: Self::DEFAULT_IDLE_LIMIT,
            task: task.abort_handle(),
            is_single_use: false,
        })
    }

    /// Makes the connection end when this value is dropped.
    pub(crate) fn set_single_use(&mut self) {
        self.is_single_use = true;
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<OutgoingBody>,
    ) -> Result<Response<Incoming>, SendError> {
        let before = self.counts.get_written();
        self.overhead.record_progress();
        match self.sender.send_request(request).await {
            Ok(response) => {
                self.overhead.record_progress();
                Ok(response)
            }
            Err(error) if self.counts.get_written() == before => Err(SendError::NothingSent(error)),
            Err(error) => Err(SendError::Unknown(error)),
        }
    }

    /// Records that a part of the body was taken, after which the target may send more
    /// that is no part of it.
    pub(crate) fn record_body_part(&self) {
        self.overhead.record_progress();
    }

    /// Records a complete answer; returns false if the connection must not be
    /// reused.
    pub(crate) fn record_answer(&mut self, now: Instant, headers: &HeaderMap) -> bool {
        self.answered_at = now;
        self.idle_limit = get_idle_limit(headers);
        !self.is_single_use && !is_closing(headers)
    }

    /// Waits until the connection can take another request.
    pub(crate) async fn wait_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Returns true if the connection can take a request now.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.sender.is_ready() && self.get_idle_time(now) < self.idle_limit
    }

    /// Returns the time since the last answer.
    pub(crate) fn get_idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.answered_at)
    }
}

fn is_closing(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Reads `timeout=N` of the `Keep-Alive` header.
fn get_idle_limit(headers: &HeaderMap) -> Duration {
    headers
        .get(KEEP_ALIVE)
        .and_then(|value| value.to_str().ok())
        .into_iter()
        .flat_map(|text| text.split(','))
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse().ok())
        .map_or(Connection::DEFAULT_IDLE_LIMIT, |seconds| {
            Duration::from_secs(seconds)
                .saturating_sub(Connection::IDLE_MARGIN)
                .max(Connection::DEFAULT_IDLE_LIMIT)
        })
}
