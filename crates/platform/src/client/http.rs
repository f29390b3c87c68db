//! Operations of the platform over HTTP.

use crate::{Condition, Member, Row, RowWrite, StoreError, StoreErrorKind};
use gentianridge_core::Version;
use parking_lot::RwLock;
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// HTTP client of the platform.
///
/// The connection pool is replaced after an operation has timed out or its connection
/// broke. Later operations do not wait on the other connections of the old pool, which
/// may not respond either.
#[derive(Debug)]
pub struct HttpPlatform {
    base_url: String,
    timeout: Duration,
    client: RwLock<Client>,
}

impl HttpPlatform {
    /// Idle connections are closed before middleboxes drop their state.
    const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

    /// Creates a client whose operations take at most `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be built.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Result<Self, StoreError> {
        Ok(Self {
            base_url: format!("http://{addr}"),
            timeout,
            client: RwLock::new(build_client(timeout)?),
        })
    }

    /// Reads a row; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// See [`StoreErrorKind`].
    pub async fn read(&self, table: &str, key: &str) -> Result<Option<Row>, StoreError> {
        let request = self
            .get_client()
            .get(self.make_url(&["tables", table, key]));
        let response = self.send(request).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => {
                let version = parse_version(&response)?;
                let value = self.read_body(response).await?;
                Ok(Some(Row { value, version }))
            }
            status => Err(status_error(status)),
        }
    }

    /// Writes a row if the condition holds and returns its new version.
    ///
    /// # Errors
    ///
    /// See [`StoreErrorKind`]; [`StoreErrorKind::OutcomeUnknown`] means that the write
    /// may have taken effect.
    pub async fn write(
        &self,
        table: &str,
        key: &str,
        write: RowWrite,
    ) -> Result<Version, StoreError> {
        let mut request = self
            .get_client()
            .put(self.make_url(&["tables", table, key]));
        request = match write.condition {
            Condition::Absent => request.header("if-none-match", "*"),
            Condition::Matches(version) => request.header("if-match", version.0),
            Condition::Always => request,
        };
        if let Some(ttl) = write.ttl {
            request = request.header("x-keep-seconds", ttl.as_secs());
        }
        let response = self.send(request.body(write.value)).await?;
        match response.status() {
            StatusCode::OK => parse_version(&response),
            StatusCode::PRECONDITION_FAILED => Err(StoreError::new(
                StoreErrorKind::Conflict,
                "the condition does not hold",
            )),
            status => Err(status_error(status)),
        }
    }

    /// Stores an object.
    ///
    /// # Errors
    ///
    /// See [`StoreErrorKind`].
    pub async fn put_object(&self, name: &str, bytes: Vec<u8>) -> Result<(), StoreError> {
        let request = self
            .get_client()
            .put(self.make_url(&["objects", name]))
            .body(bytes);
        let response = self.send(request).await?;
        match response.status() {
            StatusCode::OK => Ok(()),
            status => Err(status_error(status)),
        }
    }

    /// Reads an object; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// See [`StoreErrorKind`].
    pub async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let request = self.get_client().get(self.make_url(&["objects", name]));
        let response = self.send(request).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => self.read_body(response).await.map(Some),
            status => Err(status_error(status)),
        }
    }

    /// Returns the platform's list of VMs, which may be out of date.
    ///
    /// # Errors
    ///
    /// See [`StoreErrorKind`].
    pub async fn members(&self) -> Result<Vec<Member>, StoreError> {
        let response = self
            .send(self.get_client().get(self.make_url(&["members"])))
            .await?;
        if response.status() != StatusCode::OK {
            return Err(status_error(response.status()));
        }
        let body = self.read_body(response).await?;
        serde_json::from_slice(&body)
            .map_err(|error| StoreError::new(StoreErrorKind::Malformed, error.to_string()))
    }

    fn get_client(&self) -> Client {
        self.client.read().clone()
    }

    fn make_url(&self, parts: &[&str]) -> String {
        let mut url = self.base_url.clone();
        for part in parts {
            url.push('/');
            url.push_str(part);
        }
        url
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, StoreError> {
        match request.send().await {
            Ok(response) => Ok(response),
            Err(error) if error.is_connect() => Err(StoreError::new(
                StoreErrorKind::Refused,
                "cannot connect to the platform",
            )),
            Err(error) => Err(self.reset_connections(&error)),
        }
    }

    async fn read_body(&self, response: Response) -> Result<Vec<u8>, StoreError> {
        match response.bytes().await {
            Ok(bytes) => Ok(bytes.to_vec()),
            Err(error) => Err(self.reset_connections(&error)),
        }
    }

    /// Replaces the connection pool after a connection stopped responding or broke,
    /// and returns the error of the operation.
    fn reset_connections(&self, error: &reqwest::Error) -> StoreError {
        if let Ok(client) = build_client(self.timeout) {
            *self.client.write() = client;
        }
        StoreError::new(StoreErrorKind::OutcomeUnknown, error.to_string())
    }
}

fn build_client(timeout: Duration) -> Result<Client, StoreError> {
    Client::builder()
        .timeout(timeout)
        .connect_timeout(timeout)
        .pool_idle_timeout(HttpPlatform::IDLE_TIMEOUT)
        .tcp_nodelay(true)
        .no_proxy()
        .build()
        .map_err(|error| StoreError::new(StoreErrorKind::Refused, error.to_string()))
}

fn status_error(status: StatusCode) -> StoreError {
    let is_refusal = status == StatusCode::TOO_MANY_REQUESTS
        || status == StatusCode::SERVICE_UNAVAILABLE
        || status.is_client_error();
    let kind = if is_refusal {
        StoreErrorKind::Refused
    } else {
        StoreErrorKind::OutcomeUnknown
    };
    StoreError::new(kind, format!("HTTP status {status}"))
}

fn parse_version(response: &Response) -> Result<Version, StoreError> {
    response
        .headers()
        .get("etag")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map(Version)
        .ok_or_else(|| {
            StoreError::new(StoreErrorKind::OutcomeUnknown, "response without a version")
        })
}
