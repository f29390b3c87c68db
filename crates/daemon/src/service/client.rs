//! HTTP client for targets that an operators' file declares.

use crate::stream::{AnswerOverhead, TargetStream, YieldingStream};
use futures_util::future::BoxFuture;
use http::Uri;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::net::TcpStream;
use tower_service::Service;

/// Why a request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClientError {
    /// No connection was opened, so the request was not sent.
    NotConnected,
    /// The caller's body failed while it was sent.
    CallerBody,
    /// The connection ended, or what arrived is no answer.
    Broken,
}

/// Client that keeps connections to its targets, whose streams are bounded as those of the
/// platform's targets are.
///
/// `reqwest` opens its own streams, which cannot be bounded; its types are used for requests
/// and answers.
#[derive(Debug, Clone)]
pub(crate) struct TargetClient {
    client: Client<TargetConnector, reqwest::Body>,
}

impl TargetClient {
    /// Idle connections are closed before middleboxes drop their state.
    const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
    /// Largest buffer of the HTTP library in bytes, for each direction. It bounds the head of
    /// an answer.
    const MAX_BUFFER: usize = 64 * 1024;

    /// Creates a client that keeps at most `max_idle` idle connections to a target.
    pub(crate) fn new(max_idle: u16) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Self::POOL_IDLE_TIMEOUT)
            .pool_max_idle_per_host(usize::from(max_idle))
            .http1_max_buf_size(Self::MAX_BUFFER)
            .build(TargetConnector);
        Self { client }
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn execute(
        &self,
        request: reqwest::Request,
    ) -> Result<reqwest::Response, ClientError> {
        let request = http::Request::try_from(request).map_err(|_| ClientError::NotConnected)?;
        let response = self.client.request(request).await;
        let response = response.map_err(|error| {
            log::debug!("no answer of a target: {error}");
            classify(&error)
        })?;
        let overhead = response.extensions().get::<Arc<AnswerOverhead>>().cloned();
        let response = response.map(|body| reqwest::Body::wrap(AnswerParts::new(body, overhead)));
        Ok(response.into())
    }
}

fn classify(error: &hyper_util::client::legacy::Error) -> ClientError {
    if error.is_connect() {
        return ClientError::NotConnected;
    }
    let cause = error.source().and_then(|cause| cause.downcast_ref());
    if cause.is_some_and(hyper::Error::is_user) {
        ClientError::CallerBody
    } else {
        ClientError::Broken
    }
}

/// Opens connections to targets.
#[derive(Debug, Clone, Copy)]
struct TargetConnector;

impl TargetConnector {
    /// Longest time for opening a connection.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

    async fn connect(uri: Uri) -> io::Result<TokioIo<TargetStream<YieldingStream>>> {
        let addr = uri.authority().and_then(|text| text.as_str().parse().ok());
        let addr: SocketAddr = addr.ok_or(io::ErrorKind::InvalidInput)?;
        let connecting = TcpStream::connect(addr);
        let stream = tokio::time::timeout(Self::CONNECT_TIMEOUT, connecting).await??;
        stream.set_nodelay(true)?;
        let overhead = Arc::new(AnswerOverhead::default());
        let stream = TargetStream::new(YieldingStream::new(stream), overhead);
        Ok(TokioIo::new(stream))
    }
}

impl Service<Uri> for TargetConnector {
    type Response = TokioIo<TargetStream<YieldingStream>>;
    type Error = io::Error;
    type Future = BoxFuture<'static, io::Result<Self::Response>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        Box::pin(Self::connect(uri))
    }
}

impl Connection for TargetStream<YieldingStream> {
    /// Passes the overhead to the answers of the connection.
    fn connected(&self) -> Connected {
        Connected::new().extra(self.get_overhead().clone())
    }
}

/// The body of an answer, each part of which is progress of its connection.
#[derive(Debug)]
struct AnswerParts {
    body: Incoming,
    overhead: Option<Arc<AnswerOverhead>>,
}

impl AnswerParts {
    /// Creates the body of an answer whose head has arrived.
    fn new(body: Incoming, overhead: Option<Arc<AnswerOverhead>>) -> Self {
        let parts = Self { body, overhead };
        parts.record_progress();
        parts
    }

    fn record_progress(&self) {
        if let Some(overhead) = &self.overhead {
            overhead.record_progress();
        }
    }
}

impl Body for AnswerParts {
    type Data = bytes::Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && frame.is_data()
        {
            self.record_progress();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
