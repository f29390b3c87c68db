//! A caller that sends requests over one connection.

use super::http::MessageStream;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// The answer to a request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Headers; the names are in lower case.
    pub headers: Vec<(String, String)>,
    /// Body, decoded as UTF-8.
    pub body: String,
    /// False if the connection ended before `content-length` bytes arrived.
    pub is_complete: bool,
}

impl Reply {
    /// Returns the value of a header; `name` is in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns true if the answer announces the close of its connection.
    pub fn is_closing(&self) -> bool {
        self.get("connection") == Some("close")
    }
}

/// The connection of a caller to a daemon.
#[derive(Debug)]
pub struct CallerConnection {
    messages: MessageStream,
    /// Header lines that are added to each request.
    headers: String,
}

impl CallerConnection {
    /// Longest wait for an answer.
    const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
    /// Remaining time that a request states in its `gentianridge-deadline-ms` header.
    const TIME_LEFT_MS: u64 = 4_000;

    /// Connects to a daemon.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not accept the connection.
    pub async fn open(addr: SocketAddr) -> anyhow::Result<Self> {
        Ok(Self {
            messages: MessageStream::new(TcpStream::connect(addr).await?),
            headers: String::new(),
        })
    }

    /// Sets header lines, each with its line end, that are added to requests.
    pub fn set_headers(&mut self, headers: &str) {
        self.headers = headers.into();
    }

    /// Sets the key that requests carry.
    pub fn set_key(&mut self, key: &str) {
        self.headers = format!("authorization: Bearer {key}\r\n");
    }

    /// Sends a request without waiting for its answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed.
    pub async fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        time_left_ms: u64,
    ) -> anyhow::Result<()> {
        let body = if method == "POST" { "a body" } else { "" };
        self.send_body(method, path, id, time_left_ms, body).await
    }

    async fn send_body(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        time_left_ms: u64,
        body: &str,
    ) -> anyhow::Result<()> {
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: shop.example\r\ngentianridge-attempt-id: {id}\r\n\
             gentianridge-deadline-ms: {time_left_ms}\r\n{}content-length: {}\r\n\r\n{body}",
            self.headers,
            body.len()
        );
        self.messages.write(text.as_bytes()).await?;
        Ok(())
    }

    /// Sends text without changes, for example a malformed request.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed.
    pub async fn write(&mut self, text: &str) -> anyhow::Result<()> {
        self.messages.write(text.as_bytes()).await?;
        Ok(())
    }

    /// Waits for an answer; returns `None` if the connection ends without one.
    ///
    /// # Errors
    ///
    /// Fails if no answer arrives within 15 seconds, or if its status is not a number.
    pub async fn receive(&mut self) -> anyhow::Result<Option<Reply>> {
        let read = tokio::time::timeout(Self::ANSWER_TIMEOUT, self.messages.read()).await?;
        let Ok(Some(message)) = read else {
            return Ok(None);
        };
        let status = message.start_line.split(' ').nth(1).unwrap_or_default();
        Ok(Some(Reply {
            status: status.parse()?,
            headers: message.headers,
            body: String::from_utf8_lossy(&message.body).into_owned(),
            is_complete: message.is_complete,
        }))
    }

    /// Returns all bytes that arrive until the connection ends.
    ///
    /// # Errors
    ///
    /// Fails if the connection does not end within 15 seconds.
    pub async fn read_to_end(&mut self) -> anyhow::Result<Vec<u8>> {
        let read = self.messages.read_to_end();
        Ok(tokio::time::timeout(Self::ANSWER_TIMEOUT, read).await?)
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends without an answer.
    pub async fn request(&mut self, method: &str, path: &str, id: &str) -> anyhow::Result<Reply> {
        self.send(method, path, id, Self::TIME_LEFT_MS).await?;
        self.expect_reply().await
    }

    /// Sends a `POST` request with the given body and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends without an answer.
    pub async fn request_with_body(
        &mut self,
        path: &str,
        id: &str,
        body: &str,
    ) -> anyhow::Result<Reply> {
        self.send_body("POST", path, id, Self::TIME_LEFT_MS, body)
            .await?;
        self.expect_reply().await
    }

    async fn expect_reply(&mut self) -> anyhow::Result<Reply> {
        let reply = self.receive().await?;
        reply.ok_or_else(|| anyhow::anyhow!("the connection ended without an answer"))
    }
}
