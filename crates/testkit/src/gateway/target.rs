//! A stand-in for a target of the users' platform, with injected faults.

use super::Endless;
use super::target_behavior::{LateCopies, TargetBehavior, TargetEntryValue};
use super::target_server::{Run, Shared, accept, make_echo, reply};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// A stand-in for a target on a loopback address.
#[derive(Debug)]
pub struct FakeTarget {
    addr: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Drop for FakeTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FakeTarget {
    /// Size in bytes of a large body, above what a daemon buffers.
    pub const LARGE_BODY: usize = 1024 * 1024;

    /// Starts a target that answers normally after a work time of 5 ms.
    ///
    /// # Errors
    ///
    /// Fails if no loopback address can be bound.
    pub async fn start(id: &str) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.into(),
            behavior: Mutex::new(TargetBehavior::Normal),
            work_time: Mutex::new(Duration::from_millis(5)),
            queue_time: Mutex::new(Duration::ZERO),
            work_percent: Mutex::new(100),
            request_headers: Mutex::new(String::new()),
            health_headers: Mutex::new(String::new()),
            health_status: Mutex::new(200),
            endless_health: Mutex::new(None),
            endless_bytes: AtomicUsize::new(0),
            late_copies: Mutex::new(LateCopies::None),
            runs: Mutex::new(Vec::new()),
            arrivals: Mutex::new(Vec::new()),
            running: AtomicUsize::new(0),
            cancelled: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            load_requests: AtomicUsize::new(0),
            crashed: Notify::new(),
            is_listener_closed: AtomicBool::new(false),
        });
        let task = tokio::spawn(accept(listener, shared.clone()));
        Ok(Self { addr, shared, task })
    }

    /// Returns the address of the target.
    pub fn get_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the id under which the target registers.
    pub fn get_id(&self) -> &str {
        &self.shared.id
    }

    /// Sets how the target handles requests from now on.
    pub fn set_behavior(&self, behavior: TargetBehavior) {
        *self.shared.behavior.lock() = behavior;
    }

    /// Sets the time for which a request waits in the target's queue.
    pub fn set_queue_time(&self, queue_time: Duration) {
        *self.shared.queue_time.lock() = queue_time;
    }

    /// Sets the work time of a request. A longer one than the remaining time that the
    /// request states ends with that, and with status 504.
    pub fn set_work_time(&self, work_time: Duration) {
        *self.shared.work_time.lock() = work_time;
    }

    /// Sets the relative work time that the target reports, in percent of the usual.
    pub fn set_work_percent(&self, percent: u16) {
        *self.shared.work_percent.lock() = percent;
    }

    /// Sets header lines, each with its line end, that are added to the answers of
    /// requests.
    pub fn set_request_headers(&self, headers: &str) {
        *self.shared.request_headers.lock() = headers.into();
    }

    /// Sets header lines, each with its line end, that are added to the answers of health
    /// and load requests.
    pub fn set_health_headers(&self, headers: &str) {
        *self.shared.health_headers.lock() = headers.into();
    }

    /// Sets the status of answers to health and load requests.
    pub fn set_health_status(&self, status: u16) {
        *self.shared.health_status.lock() = status;
    }

    /// Sets bytes without end that are sent in place of the answers to health and load
    /// requests.
    pub fn set_endless_health(&self, endless: Option<Endless>) {
        *self.shared.endless_health.lock() = endless;
    }

    /// Returns the largest number of bytes of one answer without end, and starts anew.
    pub fn take_endless_bytes(&self) -> usize {
        self.shared.endless_bytes.swap(0, Ordering::Relaxed)
    }

    /// Sets which answers the target sends once more.
    pub fn set_late_copies(&self, copies: LateCopies) {
        *self.shared.late_copies.lock() = copies;
    }

    /// Returns how often the target ran the request with the id.
    pub fn count_runs(&self, id: &str) -> usize {
        let runs = self.shared.runs.lock();
        runs.iter().filter(|run| run.id == id).count()
    }

    /// Returns the body of the request with the id, `None` if it did not run.
    pub fn get_body(&self, id: &str) -> Option<Vec<u8>> {
        let runs = self.shared.runs.lock();
        let run = runs.iter().find(|run| run.id == id)?;
        Some(run.body.clone())
    }

    /// Returns how many requests the target ran.
    pub fn count_all_runs(&self) -> usize {
        self.shared.runs.lock().len()
    }

    /// Returns the remaining time that the request with the id stated, `None` if it
    /// did not run.
    pub fn get_time_left(&self, id: &str) -> Option<Duration> {
        let runs = self.shared.runs.lock();
        let run = runs.iter().find(|run| run.id == id)?;
        Some(Duration::from_millis(run.time_left_ms))
    }

    /// Returns the values of a header that the request with the id had when it ran; `name`
    /// is in lower case.
    pub fn get_header_values(&self, id: &str, name: &str) -> Vec<String> {
        let runs = self.shared.runs.lock();
        let run = runs.iter().find(|run| run.id == id);
        let headers = run.map_or(&[][..], |run| &run.headers);
        let found = headers.iter().filter(|(key, _)| key == name);
        found.map(|(_, value)| value.clone()).collect()
    }

    /// Returns the id of each run and the values of two headers that its request had; the
    /// names are in lower case.
    pub fn get_run_headers(
        &self,
        first: &str,
        second: &str,
    ) -> Vec<(String, Vec<String>, Vec<String>)> {
        let runs = self.shared.runs.lock();
        let get = |run: &Run, name: &str| {
            let found = run.headers.iter().filter(|(key, _)| key == name);
            found.map(|(_, value)| value.clone()).collect()
        };
        runs.iter()
            .map(|run| (run.id.clone(), get(run, first), get(run, second)))
            .collect()
    }

    /// Returns the path and query of each run, in order.
    pub fn get_paths(&self) -> Vec<String> {
        let runs = self.shared.runs.lock();
        runs.iter().map(|run| run.request_target.clone()).collect()
    }

    /// Returns how many requests ended because their connection closed.
    pub fn count_cancelled(&self) -> usize {
        self.shared.cancelled.load(Ordering::Relaxed)
    }

    /// Returns how many connections the target accepted.
    pub fn count_connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Returns how many load requests the target received.
    pub fn count_load_requests(&self) -> usize {
        self.shared.load_requests.load(Ordering::Relaxed)
    }

    /// Returns the id of each run, in order.
    pub fn get_run_ids(&self) -> Vec<String> {
        let runs = self.shared.runs.lock();
        runs.iter().map(|run| run.id.clone()).collect()
    }

    /// Returns the start of each run, in order.
    pub fn get_run_times(&self) -> Vec<Instant> {
        let runs = self.shared.runs.lock();
        runs.iter().map(|run| run.started_at).collect()
    }

    /// Returns the size in bytes of the head of a normal answer to a request with the id.
    pub fn get_answer_head_size(&self, id: &str) -> usize {
        let body = format!("done by {}", self.shared.id);
        let signed = format!(
            "{}gentianridge-response-signature: {}\r\n",
            make_echo(&self.shared, id),
            self.shared.id
        );
        reply(200, &signed, &body).len() - body.len()
    }

    /// Returns the ids of the requests that arrived, run or not.
    pub fn get_arrivals(&self) -> Vec<String> {
        self.shared.arrivals.lock().clone()
    }

    /// Returns the value of the target's entry in the store.
    pub fn make_entry(&self, value: &TargetEntryValue) -> Vec<u8> {
        self.make_entry_at(self.addr, value)
    }

    /// Returns the value of an entry that lists the target under another address.
    pub fn make_entry_at(&self, addr: SocketAddr, value: &TargetEntryValue) -> Vec<u8> {
        let state = if value.is_draining {
            "draining"
        } else {
            "ready"
        };
        let entry = serde_json::json!({
            "service": value.service, "addr": addr.to_string(), "zone": value.zone,
            "version": "v1", "slots": 3, "state": state, "cold_left": "0ms", "seq": 1,
            "born": value.born,
        });
        entry.to_string().into_bytes()
    }
}
