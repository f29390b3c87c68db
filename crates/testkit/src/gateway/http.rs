//! Messages of HTTP/1.1 byte by byte, since the stand-ins have to be able to
//! break each of them.

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The head of a message and its body as far as a length is stated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Message {
    /// Request line or status line.
    pub(crate) start: String,
    /// Names in lower case, with their values.
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// False if the connection ended before the stated length.
    pub(crate) is_complete: bool,
}

impl Message {
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Largest head that a stand-in reads, in bytes.
const MAX_HEAD: usize = 64 * 1024;

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

    /// Reads one message; none at the end of the connection.
    pub(crate) async fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = find(&self.buf, b"\r\n\r\n") {
                break at + 4;
            }
            if self.buf.len() > MAX_HEAD {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if !self.fill().await? {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.buf.drain(..end).collect();
        let mut message = parse_head(&String::from_utf8_lossy(&head));
        let length = message.get("content-length").and_then(|v| v.parse().ok());
        let length: usize = length.unwrap_or(0);
        message.is_complete = true;
        while self.buf.len() < length {
            if !self.fill().await? {
                message.is_complete = false;
                break;
            }
        }
        let taken = length.min(self.buf.len());
        message.body = self.buf.drain(..taken).collect();
        Ok(Some(message))
    }

    /// Waits until the other end closes.
    pub(crate) async fn wait_closed(&mut self) {
        while let Ok(true) = self.fill().await {}
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    async fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 4096];
        let size = self.stream.read(&mut chunk).await?;
        self.buf.extend_from_slice(&chunk[..size]);
        Ok(size > 0)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|part| part == wanted)
}

fn parse_head(text: &str) -> Message {
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Message {
        start,
        headers,
        ..Message::default()
    }
}
