//! A backend server: slots, health path, load header, and a few faults that the pages name.

use crate::http::{Head, Stream};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a target treats a long request.
#[derive(Clone, Copy, PartialEq)]
pub enum LongBody {
    /// It reads the body and runs the request.
    Read,
    /// It states at once that it has not run the request, keeps the connection, and reads the
    /// body after this time.
    Reject(Duration),
}

/// Pause between two pieces of an answer without end; the system makes it some 50 microseconds.
const PIECE_PAUSE: Duration = Duration::from_micros(1);

/// Length in bytes from which a request is long.
const LONG: usize = 1024 * 1024;

#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub at: Instant,
}

pub struct Target {
    pub id: String,
    pub addr: SocketAddr,
    slots: usize,
    work: Duration,
    /// Factor by which work takes longer now.
    slowness: AtomicUsize,
    long_body: Mutex<LongBody>,
    running: AtomicUsize,
    pub connections: AtomicU64,
    /// True once the process has ended: it answers nothing and accepts nothing.
    is_gone: AtomicBool,
    is_draining: AtomicBool,
    /// True if the target answers every request with a body without end.
    is_endless: AtomicBool,
    pub endless: AtomicUsize,
    pub runs: Mutex<Vec<Run>>,
    pub rejected: AtomicUsize,
    streams: Mutex<Vec<TcpStream>>,
}

impl Target {
    pub fn start(id: &str, slots: usize, work: Duration) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let target = Arc::new(Self {
            id: id.into(),
            addr: listener.local_addr().expect("an address"),
            slots,
            work,
            slowness: AtomicUsize::new(1),
            long_body: Mutex::new(LongBody::Read),
            running: AtomicUsize::new(0),
            connections: AtomicU64::new(0),
            is_gone: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            is_endless: AtomicBool::new(false),
            endless: AtomicUsize::new(0),
            runs: Mutex::new(Vec::new()),
            rejected: AtomicUsize::new(0),
            streams: Mutex::new(Vec::new()),
        });
        let shared = target.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.is_gone.load(Ordering::SeqCst) {
                    return;
                }
                shared.connections.fetch_add(1, Ordering::SeqCst);
                if let Ok(copy) = stream.try_clone() {
                    shared.streams.lock().unwrap().push(copy);
                }
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        target
    }

    pub fn set_long_body(&self, long_body: LongBody) {
        *self.long_body.lock().unwrap() = long_body;
    }

    pub fn set_slowness(&self, factor: usize) {
        self.slowness.store(factor, Ordering::SeqCst);
    }

    pub fn set_endless(&self) {
        self.is_endless.store(true, Ordering::SeqCst);
    }

    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Ends the process: open connections are closed and new ones refused.
    pub fn exit(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        // Wakes the listener, which closes.
        let _ = TcpStream::connect(self.addr);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn entry(&self, service: &str, zone: &str, cold_left: &str, seq: u64, born: u64) -> String {
        let state = if self.is_draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"cold_left\":\"{cold_left}\",\"seq\":{seq},\"born\":{born}}}",
            self.addr, self.slots
        )
    }

    fn load(&self) -> String {
        let running = self.running.load(Ordering::SeqCst);
        let work_percent = 100 * self.slowness.load(Ordering::SeqCst);
        format!(
            "gentianridge-server-load: {running},0,{},{work_percent}\r\n",
            self.slots
        )
    }

    fn serve(&self, stream: TcpStream) {
        let mut stream = Stream::new(stream);
        while let Ok(Some(head)) = stream.head() {
            let path = head.word(1).to_owned();
            let is_served = if path == "/health" {
                let status = if self.is_draining.load(Ordering::SeqCst) {
                    503
                } else {
                    200
                };
                let text = format!(
                    "HTTP/1.1 {status} x\r\ngentianridge-instance-id: {}\r\n{}keep-alive: timeout=10\r\ncontent-length: 0\r\n\r\n",
                    self.id,
                    self.load()
                );
                stream.write(text.as_bytes()).is_ok()
            } else {
                self.request(&mut stream, &head)
            };
            if !is_served {
                return;
            }
        }
    }

    /// Handles a request of a client; returns false if the connection has to end.
    fn request(&self, stream: &mut Stream, head: &Head) -> bool {
        let id = head
            .get("gentianridge-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let echo = format!("gentianridge-attempt-id: {id}\r\n");
        let not_run = |status: u16| {
            format!(
                "HTTP/1.1 {status} x\r\n{echo}gentianridge-not-executed: 1\r\ngentianridge-instance-id: {}\r\n{}keep-alive: timeout=10\r\ncontent-length: 0\r\n\r\n",
                self.id,
                self.load()
            )
        };
        let long_body = *self.long_body.lock().unwrap();
        if let (true, LongBody::Reject(pause)) = (head.length() >= LONG, long_body) {
            self.rejected.fetch_add(1, Ordering::SeqCst);
            if stream.write(not_run(503).as_bytes()).is_err() {
                return false;
            }
            std::thread::sleep(pause);
            return stream.discard(head.length()).is_ok();
        }
        let Ok(body) = stream.body(head) else {
            return false;
        };
        let expected = head.get("gentianridge-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return stream.write(not_run(421).as_bytes()).is_ok();
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return stream.write(not_run(503).as_bytes()).is_ok();
        }
        self.runs.lock().unwrap().push(Run {
            id: id.clone(),
            at: Instant::now(),
        });
        if self.is_endless.load(Ordering::SeqCst) {
            self.endless.fetch_add(1, Ordering::SeqCst);
            self.send_endless(stream, &echo);
            self.running.fetch_sub(1, Ordering::SeqCst);
            return false;
        }
        std::thread::sleep(self.work * self.slowness.load(Ordering::SeqCst) as u32);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if self.is_gone.load(Ordering::SeqCst) {
            return false;
        }
        let answer = format!("{} bytes, run by {}\n", body.len(), self.id);
        let text = format!(
            "HTTP/1.1 200 OK\r\n{echo}gentianridge-response-signature: 3e1b.{}.c9f2\r\n{}keep-alive: timeout=10\r\ncontent-length: {}\r\n\r\n{answer}",
            self.id,
            self.load(),
            answer.len()
        );
        stream.write(text.as_bytes()).is_ok()
    }

    /// Sends an answer in small pieces without end, until the caller closes the connection.
    fn send_endless(&self, stream: &mut Stream, echo: &str) {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}gentianridge-response-signature: 3e1b.{}.c9f2\r\n{}transfer-encoding: chunked\r\n\r\n",
            self.id,
            self.load()
        );
        let mut is_open = stream.write(head.as_bytes()).is_ok();
        while is_open {
            std::thread::sleep(PIECE_PAUSE);
            is_open = stream.write(b"1\r\nx\r\n").is_ok();
        }
    }
}
