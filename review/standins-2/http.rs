//! Reading and writing of HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head of a message: the start line and the headers, with names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn length(&self) -> usize {
        let length = self.get("content-length").and_then(|l| l.parse().ok());
        length.unwrap_or(0)
    }
}

/// A connection with bytes that were read ahead.
pub struct Stream {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Stream {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 64 * 1024];
        let size = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..size]);
        Ok(size)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(k, v)| (k.to_ascii_lowercase(), v.trim().to_owned()));
                return Ok(Some(Head {
                    start,
                    headers: headers.collect(),
                }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a body of the length that the head states, or in chunks.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let is_chunked = head
            .get("transfer-encoding")
            .is_some_and(|v| v == "chunked");
        if !is_chunked {
            return self.exact(head.length());
        }
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = line.split(';').next().unwrap_or_default().trim().to_owned();
            let size =
                usize::from_str_radix(&size, 16).map_err(|_| io::Error::other("bad chunk size"))?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.exact(size)?);
            self.line()?;
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exact(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < size {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..size).collect())
    }

    /// Reads and discards the rest of a body whose length is stated; returns its bytes.
    pub fn discard(&mut self, size: usize) -> io::Result<usize> {
        let mut left = size - size.min(self.buf.len());
        self.buf.drain(..size.min(self.buf.len()));
        let mut part = vec![0; 256 * 1024];
        while left > 0 {
            let wanted = left.min(part.len());
            let read = self.stream.read(&mut part[..wanted])?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            left -= read;
        }
        Ok(size)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Result of one request of a client.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    Answer(u16, Vec<u8>),
    /// The connection ended or timed out without a complete answer.
    Broken(String),
    /// No connection was established.
    NoConnection(String),
}

/// Sends one request on a new connection.
pub fn call(addr: SocketAddr, head: &str, body: &[u8], limit: Duration) -> (Outcome, Duration) {
    send_slowly(addr, head, body, Duration::ZERO, limit)
}

/// Sends one request on a new connection, its body over some time in equal parts.
pub fn send_slowly(
    addr: SocketAddr,
    head: &str,
    body: &[u8],
    over: Duration,
    limit: Duration,
) -> (Outcome, Duration) {
    let started = Instant::now();
    let outcome = exchange(addr, head, body, over, limit);
    (outcome, started.elapsed())
}

/// Parts of a body that is sent over some time.
const PARTS: usize = 20;

fn exchange(addr: SocketAddr, head: &str, body: &[u8], over: Duration, limit: Duration) -> Outcome {
    let stream = match TcpStream::connect_timeout(&addr, Duration::from_secs(1)) {
        Ok(stream) => stream,
        Err(error) => return Outcome::NoConnection(error.to_string()),
    };
    let _ = stream.set_read_timeout(Some(limit));
    let _ = stream.set_write_timeout(Some(limit));
    let mut stream = Stream::new(stream);
    // An answer may come before the body is written.
    let mut written = stream.write(head.as_bytes());
    for part in body.chunks(body.len() / PARTS + 1) {
        written = written.and_then(|()| stream.write(part));
        std::thread::sleep(over / PARTS as u32);
    }
    let read = stream.head().and_then(|head| match head {
        Some(head) => stream.body(&head).map(|body| Some((head, body))),
        None => Ok(None),
    });
    match (read, written) {
        (Ok(Some((head, body))), _) => Outcome::Answer(head.word(1).parse().unwrap_or(0), body),
        (Ok(None), _) => Outcome::Broken("closed".into()),
        (Err(error), _) => Outcome::Broken(error.to_string()),
    }
}
