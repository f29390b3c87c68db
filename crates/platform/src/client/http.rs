//! Operations over HTTP.

use crate::{Condition, Member, Row, RowWrite, StoreError, StoreErrorKind};
use gentianridge_core::Version;
use parking_lot::RwLock;
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Client of the platform.
///
/// A connection that falls silent costs one timeout: after it the pool is
/// replaced, so that no later operation waits on a connection of that age.
#[derive(Debug)]
pub struct HttpPlatform {
    base: String,
    timeout: Duration,
    client: RwLock<Client>,
}

impl HttpPlatform {
    /// Idle connections are closed before middleboxes forget them.
    const IDLE: Duration = Duration::from_secs(20);

    /// Creates a client whose operations take at most `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be built.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Result<Self, StoreError> {
        Ok(Self {
            base: format!("http://{addr}"),
            timeout,
            client: RwLock::new(build_client(timeout)?),
        })
    }

    /// Reads a row; none if it does not exist.
    ///
    /// # Errors
    ///
    /// See [`StoreErrorKind`].
    pub async fn read(&self, table: &str, key: &str) -> Result<Option<Row>, StoreError> {
        let request = self.client().get(self.url(&["tables", table, key]));
        let response = self.send(request).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => {
                let version = version_of(&response)?;
                let value = self.body(response).await?;
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
        let mut request = self.client().put(self.url(&["tables", table, key]));
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
            StatusCode::OK => version_of(&response),
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
        let request = self.client().put(self.url(&["objects", name])).body(bytes);
        let response = self.send(request).await?;
        match response.status() {
            StatusCode::OK => Ok(()),
            status => Err(status_error(status)),
        }
    }

    /// Reads an object; none if it does not exist.
    ///
    /// # Errors
    ///
    /// See [`StoreErrorKind`].
    pub async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let request = self.client().get(self.url(&["objects", name]));
        let response = self.send(request).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => self.body(response).await.map(Some),
            status => Err(status_error(status)),
        }
    }

    /// Returns the platform's list of VMs, which lags.
    ///
    /// # Errors
    ///
    /// See [`StoreErrorKind`].
    pub async fn members(&self) -> Result<Vec<Member>, StoreError> {
        let response = self.send(self.client().get(self.url(&["members"]))).await?;
        if response.status() != StatusCode::OK {
            return Err(status_error(response.status()));
        }
        let body = self.body(response).await?;
        serde_json::from_slice(&body)
            .map_err(|error| StoreError::new(StoreErrorKind::Malformed, error.to_string()))
    }

    fn client(&self) -> Client {
        self.client.read().clone()
    }

    fn url(&self, parts: &[&str]) -> String {
        let mut url = self.base.clone();
        for part in parts {
            url.push('/');
            url.push_str(part);
        }
        url
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, StoreError> {
        match request.send().await {
            Ok(response) => Ok(response),
            Err(error) if error.is_connect() => {
                Err(StoreError::new(StoreErrorKind::Refused, "no connection"))
            }
            Err(error) => Err(self.lost(&error)),
        }
    }

    async fn body(&self, response: Response) -> Result<Vec<u8>, StoreError> {
        match response.bytes().await {
            Ok(bytes) => Ok(bytes.to_vec()),
            Err(error) => Err(self.lost(&error)),
        }
    }

    /// Replaces the connections, since one of them fell silent or broke.
    fn lost(&self, error: &reqwest::Error) -> StoreError {
        if let Ok(fresh) = build_client(self.timeout) {
            *self.client.write() = fresh;
        }
        StoreError::new(StoreErrorKind::OutcomeUnknown, error.to_string())
    }
}

fn build_client(timeout: Duration) -> Result<Client, StoreError> {
    Client::builder()
        .timeout(timeout)
        .connect_timeout(timeout)
        .pool_idle_timeout(HttpPlatform::IDLE)
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
    StoreError::new(kind, format!("status {status}"))
}

fn version_of(response: &Response) -> Result<Version, StoreError> {
    response
        .headers()
        .get("etag")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map(Version)
        .ok_or_else(|| StoreError::new(StoreErrorKind::OutcomeUnknown, "answer without a version"))
}
