//! HTTP server of a target.

use super::echo::echo_headers;
use super::faults::FaultState;
use super::slots::SlotQueue;
use super::{RunLog, ServiceTime, TargetFaults};
use bytes::Bytes;
use futures_util::StreamExt;
use gentianridge_serve::{Connection, Connections, TrackingAcceptor, guard_body};
use parking_lot::Mutex;
use poem::http::{HeaderMap, HeaderValue, StatusCode};
use poem::{Body, Endpoint, Request, Response, Server};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Path of the load endpoint.
const LOAD_PATH: &str = "/load";
/// Time between the first part of a truncated answer and the end of its connection.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);
/// Requests whose path or query contains this text take the long service time.
const LONG_REQUEST_TEXT: &str = "history";

/// Options of a target.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    name: String,
    slots: u16,
    max_queued: usize,
    time: ServiceTime,
    long_time: Duration,
    padding_bytes: usize,
    cold_time: Duration,
    seed: u64,
}

impl TargetOptions {
    /// Creates the options of a target with slots and a distribution of service times.
    pub fn new(name: &str, slots: u16, time: ServiceTime) -> Self {
        Self {
            name: name.to_owned(),
            slots,
            max_queued: 197,
            time,
            long_time: Duration::from_millis(200),
            padding_bytes: 64,
            cold_time: Duration::ZERO,
            seed: 1,
        }
    }

    /// Sets the number of requests that can wait for a slot; further ones are shed.
    pub fn max_queued(mut self, requests: usize) -> Self {
        self.max_queued = requests;
        self
    }

    /// Sets the number of padding bytes in answer bodies.
    pub fn padding_bytes(mut self, bytes: usize) -> Self {
        self.padding_bytes = bytes;
        self
    }

    /// Sets the service time of requests whose path or query contains `history`.
    pub fn long_time(mut self, time: Duration) -> Self {
        self.long_time = time;
        self
    }

    /// Sets the time after the start during which service times are doubled.
    pub fn cold_time(mut self, time: Duration) -> Self {
        self.cold_time = time;
        self
    }

    /// Sets the seed of the service times.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// A stand-in for a backend server on a loopback socket, killed on drop.
///
/// Each target has its own thread and runtime, so that a kill closes its listener
/// and every connection at once, like the end of a process.
#[derive(Debug)]
pub struct TargetStandIn {
    shared: Arc<Shared>,
    addr: SocketAddr,
}

#[derive(Debug)]
struct Shared {
    options: TargetOptions,
    slots: SlotQueue,
    faults: TargetFaults,
    runs: Arc<RunLog>,
    rng: Mutex<Pcg32>,
    started: Instant,
    requests: AtomicU64,
    load_requests: AtomicU64,
    last_request: Mutex<Option<Instant>>,
    callers: Mutex<Vec<SocketAddr>>,
    stop: Notify,
}

impl TargetStandIn {
    /// Starts a target on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be bound.
    pub fn start(options: TargetOptions, runs: Arc<RunLog>) -> io::Result<Self> {
        Self::start_at(options, runs, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts a target on an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn start_at(
        options: TargetOptions,
        runs: Arc<RunLog>,
        addr: SocketAddr,
    ) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared::new(options, runs));
        let server_shared = shared.clone();
        std::thread::Builder::new()
            .name(format!("target-{}", server_shared.options.name))
            .spawn(move || serve_until_stopped(server_shared, listener))?;
        Ok(Self { shared, addr })
    }

    /// Returns the address.
    pub fn get_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the name.
    pub fn get_name(&self) -> &str {
        &self.shared.options.name
    }

    /// Returns the fault switches.
    pub fn get_faults(&self) -> &TargetFaults {
        &self.shared.faults
    }

    /// Returns the number of requests received, without load requests.
    pub fn count_requests(&self) -> u64 {
        self.shared.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of load requests answered.
    pub fn count_load_requests(&self) -> u64 {
        self.shared.load_requests.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that were shed.
    pub fn count_sheds(&self) -> u64 {
        self.shared.slots.sheds.load(Ordering::Relaxed)
    }

    /// Returns the time at which the last request was received.
    pub fn get_last_request(&self) -> Option<Instant> {
        *self.shared.last_request.lock()
    }

    /// Closes the listener and every connection.
    pub fn kill(&self) {
        self.shared.faults.crash();
        self.shared.stop.notify_one();
    }

    /// Stops answering on the connections that have carried a request so far.
    ///
    /// New connections are answered.
    pub fn silence_connections(&self) {
        self.shared
            .faults
            .silence_callers(&self.shared.callers.lock());
    }
}

impl Drop for TargetStandIn {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs the server on this thread until it is stopped.
///
/// The runtime is dropped on return, which closes all sockets.
fn serve_until_stopped(shared: Arc<Shared>, listener: std::net::TcpListener) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    else {
        return;
    };
    runtime.block_on(async move {
        let connections = Connections::new();
        let acceptor = tokio::net::TcpListener::from_std(listener)
            .and_then(|listener| TrackingAcceptor::new(listener, connections.clone()));
        let Ok(acceptor) = acceptor else {
            return;
        };
        let endpoint = TargetEndpoint {
            shared: shared.clone(),
            connections,
        };
        tokio::select! {
            _ = Server::new_with_acceptor(acceptor).run(endpoint) => {}
            () = shared.stop.notified() => {}
        }
    });
}

struct TargetEndpoint {
    shared: Arc<Shared>,
    connections: Arc<Connections>,
}

impl Endpoint for TargetEndpoint {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let faults = self.shared.faults.get();
        if faults.is_silent || self.shared.record_caller(&request, &faults) {
            std::future::pending::<()>().await;
        }
        if request.uri().path() == LOAD_PATH {
            self.shared.load_requests.fetch_add(1, Ordering::Relaxed);
            return Ok(self.shared.make_response(StatusCode::OK, Body::empty()));
        }
        self.shared.requests.fetch_add(1, Ordering::Relaxed);
        *self.shared.last_request.lock() = Some(Instant::now());
        let body = request.take_body().into_bytes().await.unwrap_or_default();
        let connection = self
            .connections
            .get_connection(request.remote_addr().as_socket_addr().copied());
        tokio::select! {
            biased;
            response = self.shared.serve(&request, body, &faults, &connection) => Ok(response),
            // A request is cancelled when its connection closes.
            () = connection.get_closed_token().cancelled() => Ok(Response::default()),
        }
    }
}

impl Shared {
    fn new(options: TargetOptions, runs: Arc<RunLog>) -> Self {
        Self {
            slots: SlotQueue::new(options.slots, options.max_queued),
            faults: TargetFaults::default(),
            rng: Mutex::new(Pcg32::seed_from_u64(options.seed)),
            started: Instant::now(),
            requests: AtomicU64::new(0),
            load_requests: AtomicU64::new(0),
            last_request: Mutex::new(None),
            callers: Mutex::new(Vec::new()),
            stop: Notify::new(),
            runs,
            options,
        }
    }

    /// Records the connection and returns true if it is not answered any more.
    fn record_caller(&self, request: &Request, faults: &FaultState) -> bool {
        let Some(caller) = request.remote_addr().as_socket_addr() else {
            return false;
        };
        let mut callers = self.callers.lock();
        if !callers.contains(caller) {
            callers.push(*caller);
        }
        faults.silent_callers.contains(caller)
    }

    async fn serve(
        &self,
        request: &Request,
        body: Bytes,
        faults: &FaultState,
        connection: &Connection,
    ) -> Response {
        let path = request
            .uri()
            .path_and_query()
            .map_or("", |uri| uri.as_str());
        if faults
            .crash_text
            .as_ref()
            .is_some_and(|text| path.contains(text.as_str()))
        {
            self.faults.crash();
            self.stop.notify_one();
            std::future::pending::<()>().await;
        }
        if faults.fails_fast {
            return self.make_response(StatusCode::INTERNAL_SERVER_ERROR, Body::empty());
        }
        let Some(_admitted) = self.slots.admit() else {
            return self.make_shed_response();
        };
        let Some(_slot) = self.slots.acquire_slot().await else {
            return self.make_shed_response();
        };
        self.record_start(request.headers());
        let work_started = Instant::now();
        self.work(path, faults).await;
        sleep_if_nonzero(faults.delay).await;
        let answer = self.make_body(path, &body, faults, connection);
        let mut response = self.make_response(StatusCode::OK, answer);
        echo_headers(request.headers(), response.headers_mut());
        let work = HeaderValue::from(work_started.elapsed().as_micros() as u64);
        response.headers_mut().insert("x-work-us", work);
        response
    }

    fn record_start(&self, headers: &HeaderMap) {
        if let Some(key) = headers
            .get("idempotency-key")
            .and_then(|key| key.to_str().ok())
        {
            self.runs.add(key.to_owned());
        }
    }

    async fn work(&self, path: &str, faults: &FaultState) {
        let drawn = self.options.time.draw(&mut *self.rng.lock());
        let mut time = if path.contains(LONG_REQUEST_TEXT) {
            self.options.long_time
        } else {
            drawn
        };
        if self.started.elapsed() < self.options.cold_time {
            time *= 2;
        }
        sleep_if_nonzero(time * faults.slow_factor.max(1)).await;
    }

    /// Starts the answer with the path of its request, so that callers detect an
    /// answer to another request.
    fn make_body(
        &self,
        path: &str,
        body: &[u8],
        faults: &FaultState,
        connection: &Connection,
    ) -> Body {
        let mut text = format!("{path} {} ", body.len()).into_bytes();
        text.resize(text.len() + self.options.padding_bytes, b'.');
        if !faults.truncates_answers {
            return Body::from_vec(text);
        }
        text.truncate(text.len() / 2);
        // The delay lets the head and the first part be sent before the connection closes.
        let start = futures_util::stream::iter([Ok(Bytes::from(text))]);
        let end = futures_util::stream::once(async {
            tokio::time::sleep(TRUNCATION_DELAY).await;
            Err(io::Error::other("the stand-in truncates the answer"))
        });
        Body::from_bytes_stream(guard_body(start.chain(end), connection.clone()))
    }

    fn make_shed_response(&self) -> Response {
        let mut response = self.make_response(StatusCode::SERVICE_UNAVAILABLE, Body::empty());
        response
            .headers_mut()
            .insert("gentianridge-run", HeaderValue::from_static("not-run"));
        response
    }

    fn make_response(&self, status: StatusCode, body: Body) -> Response {
        let faults = self.faults.get();
        let in_flight = self.slots.get_in_flight() as u16;
        let report = format!(
            "TEXT named_metrics.in_flight={},named_metrics.slots={},named_metrics.leaving={}",
            faults.reported_in_flight.unwrap_or(in_flight),
            self.options.slots,
            u8::from(faults.is_leaving),
        );
        let mut response = Response::builder().status(status).body(body);
        if let Ok(value) = HeaderValue::from_str(&report) {
            response
                .headers_mut()
                .insert("endpoint-load-metrics", value);
        }
        response
    }
}

/// Sleeps if the time is not zero, because the timer rounds up to 1 ms.
async fn sleep_if_nonzero(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}
