//! A stand-in for a target: three slots, a short queue, and a work time for each request.

use crate::http::{Connection, Message};
use crate::record::{Record, Run};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Requests that run at the same time.
pub const SLOTS: usize = 3;
/// Requests that wait for a slot.
const QUEUE: usize = 6;
/// Time between two checks whether a caller has closed the connection.
const CLOSE_CHECK: Duration = Duration::from_millis(10);
/// Time of the answer to a health check.
const HEALTH_TIME: Duration = Duration::from_millis(6);

/// Work time of the requests of a service, by the position of the run.
#[derive(Clone, Copy)]
pub struct Work {
    pub usual: Duration,
    /// Each n-th run of the service takes `long`; 0 for none.
    pub long_each: usize,
    pub long: Duration,
}

/// Counts the runs of a service over its targets.
pub type RunCount = Arc<Mutex<usize>>;

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

#[derive(Clone)]
pub struct Target {
    id: String,
    work: Work,
    count: RunCount,
    load: Arc<(Mutex<Load>, Condvar)>,
    record: Record,
    pub addr: SocketAddr,
}

impl Target {
    pub fn start(id: &str, work: Work, count: RunCount, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let target = Self {
            id: id.into(),
            work,
            count,
            load: Arc::default(),
            record: record.clone(),
            addr: listener.local_addr()?,
        };
        let accepting = target.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = accepting.clone();
                std::thread::spawn(move || target.serve(stream));
            }
        });
        Ok(target)
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            if !self.answer(&mut connection, &request) {
                return;
            }
        }
    }

    /// Answers a request; returns false if its connection has closed.
    fn answer(&self, connection: &mut Connection, request: &Message) -> bool {
        let id = request.get("gentianridge-attempt-id").unwrap_or_default();
        if request.start_line.starts_with("GET /health ") {
            std::thread::sleep(HEALTH_TIME);
            let instance = format!("gentianridge-instance-id: {}\r\n", self.id);
            return self.reply(connection, 200, &instance, "");
        }
        let expected = request.get("gentianridge-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let instance = format!("gentianridge-instance-id: {}\r\n", self.id);
            return self.reply(connection, 421, &instance, "");
        }
        let echo = format!("gentianridge-attempt-id: {id}\r\n");
        let not_run = format!("{echo}gentianridge-not-executed: 1\r\n");
        let left = request
            .get("gentianridge-deadline-ms")
            .and_then(|v| v.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(left.unwrap_or(10_000));
        if !self.take_slot(deadline) {
            return self.reply(connection, 503, &not_run, "");
        }
        let is_done = self.run(connection, request, id, deadline);
        self.free_slot();
        let signed = format!(
            "{echo}gentianridge-response-signature: {}.{id}\r\n",
            self.id
        );
        match is_done {
            None => false,
            Some(true) => self.reply(
                connection,
                200,
                &signed,
                &format!("{id} done by {}", self.id),
            ),
            Some(false) => self.reply(connection, 504, &signed, "the deadline passed"),
        }
    }

    /// Waits for a slot; returns false if the target is full or the deadline has passed.
    fn take_slot(&self, deadline: Instant) -> bool {
        let (load, changed) = &*self.load;
        let mut load = load.lock().unwrap();
        if load.running < SLOTS && load.waiting == 0 {
            load.running += 1;
            return true;
        }
        if load.waiting >= QUEUE {
            return false;
        }
        load.waiting += 1;
        while load.running >= SLOTS {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                load.waiting -= 1;
                return false;
            }
            load = changed.wait_timeout(load, left).unwrap().0;
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn free_slot(&self) {
        self.load.0.lock().unwrap().running -= 1;
        self.load.1.notify_all();
    }

    /// Works on a request; returns `None` if its connection closed meanwhile, and false
    /// if its deadline passed.
    fn run(
        &self,
        connection: &mut Connection,
        request: &Message,
        id: &str,
        deadline: Instant,
    ) -> Option<bool> {
        let run = Run {
            id: id.into(),
            target: self.id.clone(),
            at_ms: self.record.now_ms(),
        };
        let line = format!("{} {}", request.word(0), request.word(1));
        self.record.run(run, &line);
        let work = {
            let mut count = self.count.lock().unwrap();
            *count += 1;
            let is_long = self.work.long_each > 0 && *count % self.work.long_each == 0;
            if is_long {
                self.work.long
            } else {
                self.work.usual
            }
        };
        let end = Instant::now() + work;
        let stop = end.min(deadline);
        let mut byte = [0_u8; 1];
        let _ = connection.stream.set_read_timeout(Some(CLOSE_CHECK));
        let mut is_open = true;
        while is_open && Instant::now() < stop {
            let left = stop.saturating_duration_since(Instant::now());
            let check = left.clamp(Duration::from_millis(1), CLOSE_CHECK);
            let _ = connection.stream.set_read_timeout(Some(check));
            is_open = match connection.stream.peek(&mut byte) {
                Ok(count) => count > 0,
                Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
            };
        }
        let _ = connection.stream.set_read_timeout(None);
        is_open.then_some(end <= deadline)
    }

    fn reply(&self, connection: &mut Connection, status: u16, headers: &str, body: &str) -> bool {
        let load = {
            let load = self.load.0.lock().unwrap();
            format!("{},{},{SLOTS},100", load.running, load.waiting)
        };
        let text = format!(
            "HTTP/1.1 {status} x\r\nkeep-alive: timeout=10\r\n{headers}\
             gentianridge-server-load: {load}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        connection.write(&text).is_ok()
    }
}
