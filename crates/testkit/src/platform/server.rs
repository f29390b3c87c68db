//! HTTP server of the platform.

use super::PlatformFaults;
use super::faults::OperationOutcome;
use gentianridge_core::Version;
use gentianridge_platform::{Condition, Member, MemoryPlatform, Row, RowWrite};
use parking_lot::Mutex;
use poem::http::{HeaderMap, HeaderValue, Method, StatusCode};
use poem::listener::TcpAcceptor;
use poem::{Body, Endpoint, Request, Response, Server};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

const MEMBERS_PATH: &str = "/members";

/// A stand-in for the platform on a loopback socket, stopped on drop.
#[derive(Debug)]
pub struct PlatformStandIn {
    shared: Arc<Shared>,
    addr: SocketAddr,
    server: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    store: MemoryPlatform,
    members: Mutex<Vec<Member>>,
    faults: PlatformFaults,
    writes: AtomicU64,
    reads: AtomicU64,
}

impl PlatformStandIn {
    /// Starts the platform on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be bound.
    pub async fn start(seed: u64) -> io::Result<Self> {
        Self::start_on(IpAddr::from([127, 0, 0, 1]), seed).await
    }

    /// Starts the platform on a free port of an address.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be bound.
    pub async fn start_on(ip: IpAddr, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            store: MemoryPlatform::new(),
            members: Mutex::new(Vec::new()),
            faults: PlatformFaults::new(seed),
            writes: AtomicU64::new(0),
            reads: AtomicU64::new(0),
        });
        let acceptor = TcpAcceptor::from_tokio(listener)?;
        let endpoint = PlatformEndpoint {
            shared: shared.clone(),
        };
        let server = tokio::spawn(async move {
            // The server runs until the task is aborted.
            let _ = Server::new_with_acceptor(acceptor).run(endpoint).await;
        });
        Ok(Self {
            shared,
            addr,
            server,
        })
    }

    /// Returns the address.
    pub fn get_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the fault switches.
    pub fn get_faults(&self) -> &PlatformFaults {
        &self.shared.faults
    }

    /// Returns the stored rows and objects.
    pub fn get_store(&self) -> &MemoryPlatform {
        &self.shared.store
    }

    /// Sets the membership list, which the real platform updates with a delay.
    pub fn set_members(&self, members: Vec<Member>) {
        *self.shared.members.lock() = members;
    }

    /// Returns the number of writes requested.
    pub fn count_writes(&self) -> u64 {
        self.shared.writes.load(Ordering::Relaxed)
    }

    /// Returns the number of reads requested, including those of the membership list.
    pub fn count_reads(&self) -> u64 {
        self.shared.reads.load(Ordering::Relaxed)
    }
}

impl Drop for PlatformStandIn {
    fn drop(&mut self) {
        self.server.abort();
    }
}

struct PlatformEndpoint {
    shared: Arc<Shared>,
}

impl Endpoint for PlatformEndpoint {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let is_write = request.method() == Method::PUT;
        let counter = if is_write {
            &self.shared.writes
        } else {
            &self.shared.reads
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let body = request.take_body().into_bytes().await.unwrap_or_default();
        if request.uri().path() == MEMBERS_PATH {
            // The membership list is a separate service, which outages of the store do not affect.
            return Ok(self.shared.list_members());
        }
        match self.shared.faults.draw_outcome(is_write) {
            OperationOutcome::Refused => {
                return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
            }
            OperationOutcome::Silent => std::future::pending::<()>().await,
            OperationOutcome::Lost => {
                self.shared.execute(&request, body.to_vec());
                // Longer than the timeout of any client, and bounded.
                tokio::time::sleep(Duration::from_secs(30)).await;
            }
            OperationOutcome::Answered(latency) => tokio::time::sleep(latency).await,
        }
        Ok(self.shared.execute(&request, body.to_vec()))
    }
}

impl Shared {
    fn execute(&self, request: &Request, body: Vec<u8>) -> Response {
        let path = request.uri().path();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (&Method::GET, ["tables", table, key]) => {
                make_row_response(self.store.read(table, key))
            }
            (&Method::PUT, ["tables", table, key]) => {
                self.write(table, key, request.headers(), body)
            }
            (&Method::GET, ["objects", name]) => make_object_response(self.store.get_object(name)),
            (&Method::PUT, ["objects", name]) => {
                self.store.put_object(name, body);
                empty_response(StatusCode::OK)
            }
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    fn write(&self, table: &str, key: &str, headers: &HeaderMap, value: Vec<u8>) -> Response {
        let ttl = parse_header(headers, "x-keep-seconds").map(Duration::from_secs);
        let condition = if headers.contains_key("if-none-match") {
            Condition::Absent
        } else {
            parse_header(headers, "if-match")
                .map_or(Condition::Always, |v| Condition::Matches(Version(v)))
        };
        match self.store.write(
            table,
            key,
            RowWrite {
                condition,
                value,
                ttl,
            },
        ) {
            Ok(version) => set_etag(empty_response(StatusCode::OK), version),
            Err(_) => empty_response(StatusCode::PRECONDITION_FAILED),
        }
    }

    fn list_members(&self) -> Response {
        let members = self.members.lock().clone();
        match Body::from_json(&members) {
            Ok(body) => Response::builder().body(body),
            Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}

fn make_row_response(row: Option<Row>) -> Response {
    match row {
        Some(row) => set_etag(Response::builder().body(row.value), row.version),
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

fn make_object_response(object: Option<Vec<u8>>) -> Response {
    match object {
        Some(bytes) => Response::builder().body(bytes),
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

fn set_etag(mut response: Response, version: Version) -> Response {
    response
        .headers_mut()
        .insert("etag", HeaderValue::from(version.0));
    response
}

fn empty_response(code: StatusCode) -> Response {
    Response::builder().status(code).finish()
}

fn parse_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
