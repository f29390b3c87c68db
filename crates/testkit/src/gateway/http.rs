//! Reads and writes HTTP/1.1 messages as raw bytes, because the stand-ins also
//! have to send malformed and truncated messages.

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A request or a response; the body is read if the head has a `content-length` or is
/// chunked.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Message {
    /// Request line or status line.
    pub(crate) start_line: String,
    /// Names, in lower case, and values.
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// False if the connection ended before the end of the body.
    pub(crate) is_complete: bool,
}

impl Message {
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Largest head that a stand-in reads.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Reads messages from one connection.
#[derive(Debug)]
pub(crate) struct MessageStream {
    pub(crate) stream: TcpStream,
    buf: Vec<u8>,
}

impl MessageStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Reads one message; returns `None` if the connection ends before its head does.
    pub(crate) async fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head().await? else {
            return Ok(None);
        };
        self.read_body(&mut message).await?;
        Ok(Some(message))
    }

    /// Reads the head of a message.
    pub(crate) async fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = find(&self.buf, b"\r\n\r\n") {
                break at + 4;
            }
            if self.buf.len() > MAX_HEAD_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if !self.fill().await? {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.buf.drain(..end).collect();
        Ok(Some(parse_head(&String::from_utf8_lossy(&head))))
    }

    /// Reads the body of a message as far as it arrives.
    pub(crate) async fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.get("transfer-encoding") == Some("chunked") {
            message.is_complete = self.read_chunks(&mut message.body).await?;
            return Ok(());
        }
        let length = message.get("content-length").and_then(|v| v.parse().ok());
        let length: usize = length.unwrap_or(0);
        message.is_complete = true;
        while self.buf.len() < length {
            if !self.fill().await? {
                message.is_complete = false;
                break;
            }
        }
        let body_length = length.min(self.buf.len());
        message.body = self.buf.drain(..body_length).collect();
        Ok(())
    }

    /// Reads chunks until the last one; returns false if the connection ends before it.
    async fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.read_until(b"\r\n").await? else {
                return Ok(false);
            };
            let line = String::from_utf8_lossy(&line).into_owned();
            let digits = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(digits, 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            while self.buf.len() < size + 2 {
                if !self.fill().await? {
                    return Ok(false);
                }
            }
            body.extend(self.buf.drain(..size));
            self.buf.drain(..2);
            if size == 0 {
                return Ok(true);
            }
        }
    }

    /// Returns the bytes before `pattern` and removes both, `None` if the connection ends
    /// before it.
    async fn read_until(&mut self, pattern: &[u8]) -> io::Result<Option<Vec<u8>>> {
        loop {
            if let Some(at) = find(&self.buf, pattern) {
                let found = self.buf.drain(..at).collect();
                self.buf.drain(..pattern.len());
                return Ok(Some(found));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// Waits until the peer closes the connection, and buffers the bytes that it still sends.
    pub(crate) async fn wait_closed(&mut self) {
        while let Ok(true) = self.fill().await {}
    }

    /// Returns all bytes that arrive until the connection ends.
    pub(crate) async fn read_to_end(&mut self) -> Vec<u8> {
        self.wait_closed().await;
        std::mem::take(&mut self.buf)
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Appends received bytes to the buffer; returns false at the end of the connection.
    async fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let size = self.stream.read(&mut chunk).await?;
        self.buf.extend_from_slice(&chunk[..size]);
        Ok(size > 0)
    }
}

/// Returns the position at which `pattern` first occurs.
fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn parse_head(text: &str) -> Message {
    let mut lines = text.split("\r\n");
    let start_line = lines.next().unwrap_or_default().to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Message {
        start_line,
        headers,
        ..Message::default()
    }
}
