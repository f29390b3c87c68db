//! A stand-in for clients.

use crate::http::Connection;
use crate::record::Record;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    Answered {
        status: u16,
        retry_after: Option<f64>,
    },
    /// The connection ended without an answer after the request was sent whole.
    Closed,
    /// No connection, or it ended before the request was sent whole.
    NotSent,
    /// No answer within the time that the client waits.
    GaveUp,
}

#[derive(Debug, Clone)]
pub struct Outcome {
    pub id: String,
    pub daemon: usize,
    /// Time at which the last byte was sent.
    pub sent_ms: u64,
    pub end_ms: u64,
    pub end: End,
}

/// A request of a client.
pub struct Request<'a> {
    pub id: String,
    pub method: &'a str,
    pub host: &'a str,
    pub path: String,
    pub body: String,
    pub deadline: Duration,
    /// Parts in which the body is sent, and the pause before each.
    pub parts: usize,
    pub pause: Duration,
}

impl Request<'_> {
    /// Sends the request on a new connection and waits for its answer.
    pub fn send(&self, daemon: usize, addr: SocketAddr, record: &Record) -> Outcome {
        let mut outcome = Outcome {
            id: self.id.clone(),
            daemon,
            sent_ms: record.now_ms(),
            end_ms: 0,
            end: End::NotSent,
        };
        record.line(&format!(
            "send     {} {} {} to {addr}",
            self.id, self.method, self.path
        ));
        outcome.end = self.exchange(addr, record, &mut outcome.sent_ms);
        outcome.end_ms = record.now_ms();
        record.line(&format!("end      {} {:?}", self.id, outcome.end));
        outcome
    }

    fn exchange(&self, addr: SocketAddr, record: &Record, sent_ms: &mut u64) -> End {
        let started = Instant::now();
        let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
            return End::NotSent;
        };
        let mut connection = Connection::new(stream);
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nGentianridge-Attempt-Id: {}\r\n\
             Gentianridge-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
            self.method,
            self.path,
            self.host,
            self.id,
            self.deadline.as_millis(),
            self.body.len()
        );
        let mut text = head.into_bytes();
        if self.parts <= 1 {
            text.extend_from_slice(self.body.as_bytes());
        }
        if connection.stream.write_all(&text).is_err() {
            return End::NotSent;
        }
        if self.parts > 1 {
            let size = self.body.len().div_ceil(self.parts);
            for part in self.body.as_bytes().chunks(size) {
                std::thread::sleep(self.pause);
                if connection.stream.write_all(part).is_err() {
                    return End::NotSent;
                }
            }
            record.line(&format!("sent     {} whole", self.id));
        }
        *sent_ms = record.now_ms();
        let left = self.deadline.saturating_sub(started.elapsed());
        let _ = connection
            .stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))));
        match connection.read() {
            Ok(Some(answer)) => End::Answered {
                status: answer.word(1).parse().unwrap_or(0),
                retry_after: answer
                    .get("retry-after")
                    .and_then(|value| value.parse().ok()),
            },
            Ok(None) => End::Closed,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                End::GaveUp
            }
            Err(_) => End::Closed,
        }
    }
}
