//! Callers that send too much, stop short, or read nothing, and stay connected.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// Longest time without progress of one caller's writes; a daemon that does not read any
/// more, or has closed the connection, ends them.
const WRITE_STALL: Duration = Duration::from_secs(1);
/// Longest time until a connection is established. The system drops the first attempt if
/// the daemon's queue of new connections is full, and repeats it after seconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(8);
/// Receive buffer of a caller that reads nothing, in bytes, so that little of an answer
/// fits into the system's buffers.
const SMALL_RECEIVE_BUFFER: u32 = 4_096;

/// The open connections of a crowd.
#[derive(Debug)]
pub(crate) struct Crowd {
    connections: Vec<TcpStream>,
}

impl Crowd {
    /// Opens `size` connections; each sends the parts in turn and stays open. The daemon may
    /// close any of them.
    pub(crate) async fn send(addr: SocketAddr, size: usize, parts: &[Vec<u8>]) -> Self {
        let callers = (0..size).map(|_| send_parts(addr, parts));
        Self {
            connections: futures_util::future::join_all(callers)
                .await
                .into_iter()
                .flatten()
                .collect(),
        }
    }

    /// Makes the callers read and discard their answers until their connections end.
    pub(crate) fn read_answers(self) -> JoinSet<()> {
        let mut readers = JoinSet::new();
        for mut stream in self.connections {
            readers.spawn(async move {
                let mut buf = vec![0; 64 * 1024];
                while matches!(stream.read(&mut buf).await, Ok(1..)) {}
            });
        }
        readers
    }

    pub(crate) fn count(&self) -> usize {
        self.connections.len()
    }
}

async fn send_parts(addr: SocketAddr, parts: &[Vec<u8>]) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).ok()?;
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(addr));
    let mut stream = connecting.await.ok()?.ok()?;
    for part in parts {
        for piece in part.chunks(64 * 1024) {
            let write = tokio::time::timeout(WRITE_STALL, stream.write_all(piece));
            if !matches!(write.await, Ok(Ok(()))) {
                return Some(stream);
            }
        }
    }
    Some(stream)
}

/// Returns the head of a `POST` request with the given framing headers.
pub(crate) fn make_post_head(framing: &str) -> Vec<u8> {
    format!(
        "POST /once/x HTTP/1.1\r\nhost: shop.example\r\ngentianridge-attempt-id: crowd\r\n\
         gentianridge-deadline-ms: 60000\r\n{framing}\r\n\r\n"
    )
    .into_bytes()
}

/// Returns a `GET` request.
pub(crate) fn make_get() -> Vec<u8> {
    b"GET /look/crowd HTTP/1.1\r\nhost: shop.example\r\ngentianridge-attempt-id: crowd\r\n\
      gentianridge-deadline-ms: 60000\r\n\r\n"
        .to_vec()
}

/// Returns a body of `size` bytes in chunks of `chunk` bytes, without the last chunk.
pub(crate) fn make_chunks(size: usize, chunk: usize) -> Vec<u8> {
    let one = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
    one.repeat(size / chunk).into_bytes()
}
