//! The HTTP server of a stand-in.

use super::echo::echo_headers;
use super::faults::FaultState;
use super::gate::Gate;
use super::{Runs, ServiceTime, TargetFaults};
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
/// Time between the first part of a cut answer and its break.
const BREAK_PAUSE: Duration = Duration::from_millis(20);
/// Part of a path that makes a request long.
const LONG_WORD: &str = "history";

/// What a stand-in is like.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    name: String,
    slots: u16,
    queue: usize,
    time: ServiceTime,
    long_time: Duration,
    body: usize,
    cold: Duration,
    seed: u64,
}

impl TargetOptions {
    /// Creates a target with slots and a distribution of its service times.
    pub fn new(name: &str, slots: u16, time: ServiceTime) -> Self {
        Self {
            name: name.to_owned(),
            slots,
            queue: 197,
            time,
            long_time: Duration::from_millis(200),
            body: 64,
            cold: Duration::ZERO,
            seed: 1,
        }
    }

    /// Sets the requests that wait before further ones are shed.
    pub fn queue(mut self, queue: usize) -> Self {
        self.queue = queue;
        self
    }

    /// Sets the size of answers in bytes.
    pub fn body(mut self, body: usize) -> Self {
        self.body = body;
        self
    }

    /// Sets the time of requests whose path holds `history`.
    pub fn long_time(mut self, time: Duration) -> Self {
        self.long_time = time;
        self
    }

    /// Sets the time after the start in which requests take twice as long.
    pub fn cold(mut self, cold: Duration) -> Self {
        self.cold = cold;
        self
    }

    /// Sets the seed of the drawn times.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// A backend server on a loopback socket; dropping it kills it.
///
/// Each stand-in has a thread and a runtime of its own, so that a kill closes
/// its listener and every connection at once, as the end of a process does.
#[derive(Debug)]
pub struct TargetStandIn {
    shared: Arc<Shared>,
    addr: SocketAddr,
}

#[derive(Debug)]
struct Shared {
    options: TargetOptions,
    gate: Gate,
    faults: TargetFaults,
    runs: Arc<Runs>,
    rng: Mutex<Pcg32>,
    started: Instant,
    requests: AtomicU64,
    probes: AtomicU64,
    last: Mutex<Option<Instant>>,
    callers: Mutex<Vec<SocketAddr>>,
    end: Notify,
}

impl TargetStandIn {
    /// Starts a target on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be bound.
    pub fn start(options: TargetOptions, runs: Arc<Runs>) -> io::Result<Self> {
        Self::start_at(options, runs, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts a target on an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn start_at(options: TargetOptions, runs: Arc<Runs>, addr: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared::new(options, runs));
        let served = shared.clone();
        std::thread::Builder::new()
            .name(format!("target-{}", served.options.name))
            .spawn(move || serve_until_end(served, listener))?;
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

    /// Returns the switches of the faults.
    pub fn get_faults(&self) -> &TargetFaults {
        &self.shared.faults
    }

    /// Returns the number of requests taken in.
    pub fn count_requests(&self) -> u64 {
        self.shared.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of probes answered.
    pub fn count_probes(&self) -> u64 {
        self.shared.probes.load(Ordering::Relaxed)
    }

    /// Returns the number of requests shed.
    pub fn count_sheds(&self) -> u64 {
        self.shared.gate.sheds.load(Ordering::Relaxed)
    }

    /// Returns the time at which the last request was taken in.
    pub fn get_last_request(&self) -> Option<Instant> {
        *self.shared.last.lock()
    }

    /// Ends the listener and every connection handler.
    pub fn kill(&self) {
        self.shared.faults.crash();
        self.shared.end.notify_one();
    }

    /// Lets every connection that is open now fall silent for good.
    ///
    /// New connections work.
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

/// Runs the server on this thread; the end drops the runtime with all sockets.
fn serve_until_end(shared: Arc<Shared>, listener: std::net::TcpListener) {
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
            () = shared.end.notified() => {}
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
        if faults.is_silent || self.shared.is_silent_caller(&request, &faults) {
            std::future::pending::<()>().await;
        }
        if request.uri().path() == LOAD_PATH {
            self.shared.probes.fetch_add(1, Ordering::Relaxed);
            return Ok(self.shared.reported(StatusCode::OK, Body::empty()));
        }
        self.shared.requests.fetch_add(1, Ordering::Relaxed);
        *self.shared.last.lock() = Some(Instant::now());
        let body = request.take_body().into_bytes().await.unwrap_or_default();
        let connection = self
            .connections
            .get_connection(request.remote_addr().as_socket_addr().copied());
        tokio::select! {
            biased;
            response = self.shared.serve(&request, body, &faults, &connection) => Ok(response),
            // The work is cancelled with the connection it came on.
            () = connection.get_closed_token().cancelled() => Ok(Response::default()),
        }
    }
}

impl Shared {
    fn new(options: TargetOptions, runs: Arc<Runs>) -> Self {
        Self {
            gate: Gate::new(options.slots, options.queue),
            faults: TargetFaults::default(),
            rng: Mutex::new(Pcg32::seed_from_u64(options.seed)),
            started: Instant::now(),
            requests: AtomicU64::new(0),
            probes: AtomicU64::new(0),
            last: Mutex::new(None),
            callers: Mutex::new(Vec::new()),
            end: Notify::new(),
            runs,
            options,
        }
    }

    /// Notes the connection and tells whether it has fallen silent.
    fn is_silent_caller(&self, request: &Request, faults: &FaultState) -> bool {
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
        let target = request
            .uri()
            .path_and_query()
            .map_or("", |target| target.as_str());
        if faults
            .crash_word
            .as_ref()
            .is_some_and(|word| target.contains(word.as_str()))
        {
            self.faults.crash();
            self.end.notify_one();
            std::future::pending::<()>().await;
        }
        if faults.fails_fast {
            return self.reported(StatusCode::INTERNAL_SERVER_ERROR, Body::empty());
        }
        let Some(_held) = self.gate.enter() else {
            return self.shed();
        };
        let Some(_slot) = self.gate.acquire().await else {
            return self.shed();
        };
        self.note_run(request.headers());
        let taken = Instant::now();
        self.work(target, faults).await;
        pause(faults.delay).await;
        let answer = self.answer_body(target, &body, faults, connection);
        let mut response = self.reported(StatusCode::OK, answer);
        echo_headers(request.headers(), response.headers_mut());
        let work = HeaderValue::from(taken.elapsed().as_micros() as u64);
        response.headers_mut().insert("x-work-us", work);
        response
    }

    fn note_run(&self, headers: &HeaderMap) {
        if let Some(key) = headers
            .get("idempotency-key")
            .and_then(|key| key.to_str().ok())
        {
            self.runs.add(key.to_owned());
        }
    }

    async fn work(&self, target: &str, faults: &FaultState) {
        let drawn = self.options.time.draw(&mut *self.rng.lock());
        let mut time = if target.contains(LONG_WORD) {
            self.options.long_time
        } else {
            drawn
        };
        if self.started.elapsed() < self.options.cold {
            time *= 2;
        }
        pause(time * faults.slow_factor.max(1)).await;
    }

    /// The answer names its request, so that a crossed answer can be told.
    fn answer_body(
        &self,
        target: &str,
        body: &[u8],
        faults: &FaultState,
        connection: &Connection,
    ) -> Body {
        let mut text = format!("{target} {} ", body.len()).into_bytes();
        text.resize(text.len() + self.options.body, b'.');
        if !faults.truncates {
            return Body::from_vec(text);
        }
        text.truncate(text.len() / 2);
        // The pause lets the head and the first part leave before the break.
        let start = futures_util::stream::iter([Ok(Bytes::from(text))]);
        let end = futures_util::stream::once(async {
            tokio::time::sleep(BREAK_PAUSE).await;
            Err(io::Error::other("broken off"))
        });
        Body::from_bytes_stream(guard_body(start.chain(end), connection.clone()))
    }

    fn shed(&self) -> Response {
        let mut response = self.reported(StatusCode::SERVICE_UNAVAILABLE, Body::empty());
        response
            .headers_mut()
            .insert("gentianridge-run", HeaderValue::from_static("not-run"));
        response
    }

    fn reported(&self, status: StatusCode, body: Body) -> Response {
        let faults = self.faults.get();
        let held = self.gate.get_held() as u16;
        let report = format!(
            "TEXT named_metrics.in_flight={},named_metrics.slots={},named_metrics.leaving={}",
            faults.reported.unwrap_or(held),
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

/// Sleeps, unless there is no time to sleep: the timer rounds up to 1 ms.
async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}
