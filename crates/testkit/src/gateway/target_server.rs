//! How a stand-in for a target handles its connections.

use super::Endless;
use super::http::{Message, MessageStream};
use super::target::FakeTarget;
use super::target_behavior::{LateCopies, TargetBehavior};
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// State of a target that its connections share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) id: String,
    pub(super) behavior: Mutex<TargetBehavior>,
    pub(super) work_time: Mutex<Duration>,
    pub(super) queue_time: Mutex<Duration>,
    pub(super) work_percent: Mutex<u16>,
    /// Header lines that are added to answers of requests.
    pub(super) request_headers: Mutex<String>,
    /// Header lines that are added to answers of health and load requests.
    pub(super) health_headers: Mutex<String>,
    pub(super) health_status: Mutex<u16>,
    /// Bytes without end in place of the answers to health and load requests.
    pub(super) endless_health: Mutex<Option<Endless>>,
    /// Largest number of bytes of one answer without end.
    pub(super) endless_bytes: AtomicUsize,
    pub(super) late_copies: Mutex<LateCopies>,
    pub(super) runs: Mutex<Vec<Run>>,
    /// Ids of the requests that arrived, run or not.
    pub(super) arrivals: Mutex<Vec<String>>,
    pub(super) running: AtomicUsize,
    pub(super) cancelled: AtomicUsize,
    pub(super) connections: AtomicUsize,
    pub(super) load_requests: AtomicUsize,
    pub(super) crashed: Notify,
    pub(super) is_listener_closed: AtomicBool,
}

/// The run of one request.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) id: String,
    pub(super) time_left_ms: u64,
    /// Path and query.
    pub(super) request_target: String,
    /// Names, in lower case, and values.
    pub(super) headers: Vec<(String, String)>,
    pub(super) body: Vec<u8>,
    pub(super) started_at: Instant,
}

/// Accepts connections until the target crashes, which closes the listening socket.
pub(super) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    return;
                };
                shared.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve(stream, shared.clone()));
            }
            () = shared.crashed.notified() => {
                drop(listener);
                shared.is_listener_closed.store(true, Ordering::Release);
                return;
            }
        }
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let mut messages = MessageStream::new(stream);
    let mut last = String::new();
    while let Ok(Some(mut request)) = messages.read_head().await {
        let is_early = is_early(&request, &shared);
        if is_early && !answer_early(&mut messages, &request, &shared).await {
            return;
        }
        let is_read = messages.read_body(&mut request).await.is_ok();
        if !is_read || !request.is_complete {
            // No server runs it.
            if !is_early {
                record_arrival(&request, &shared);
            }
            shared.cancelled.fetch_add(1, Ordering::Relaxed);
            return;
        }
        if is_early {
            continue;
        }
        if !answer(&mut messages, &request, &shared, &mut last).await {
            return;
        }
    }
}

fn record_arrival(request: &Message, shared: &Shared) {
    let id = request.get("gentianridge-attempt-id").unwrap_or_default();
    shared.arrivals.lock().push(id.to_owned());
}

/// Returns true if the target answers the request before it reads the body.
fn is_early(request: &Message, shared: &Shared) -> bool {
    let behavior = *shared.behavior.lock();
    let is_early = matches!(
        behavior,
        TargetBehavior::EarlyAnswer | TargetBehavior::EarlyRefusal
    );
    is_early && !request.start_line.starts_with("GET /health ")
}

/// Time from an early answer until the target reads the body.
const LATE_READ: Duration = Duration::from_millis(200);

/// Answers a request before its body is read; returns false if the connection has to be
/// closed.
async fn answer_early(messages: &mut MessageStream, request: &Message, shared: &Shared) -> bool {
    let id = request.get("gentianridge-attempt-id").unwrap_or_default();
    record_arrival(request, shared);
    let echo = make_echo(shared, id);
    let is_refusal = *shared.behavior.lock() == TargetBehavior::EarlyRefusal;
    let text = if is_refusal {
        reply(503, &format!("{echo}gentianridge-not-executed: 1\r\n"), "")
    } else {
        let signed = format!("{echo}gentianridge-response-signature: {}\r\n", shared.id);
        reply(200, &signed, "early")
    };
    if messages.write(text.as_bytes()).await.is_err() {
        return false;
    }
    tokio::time::sleep(LATE_READ).await;
    true
}

/// Writes a refusal and keeps it in `last`, if the target sends it once more later.
async fn refuse(
    messages: &mut MessageStream,
    text: String,
    shared: &Shared,
    last: &mut String,
) -> bool {
    let is_written = messages.write(text.as_bytes()).await.is_ok();
    if *shared.late_copies.lock() == LateCopies::Refusals {
        *last = text;
    }
    is_written
}

/// Writes the answer to a load request, after a copy of the last answer if the target sends
/// one.
async fn answer_load(
    messages: &mut MessageStream,
    text: &str,
    shared: &Shared,
    last: &mut String,
) -> bool {
    if *shared.late_copies.lock() == LateCopies::BeforeLoadAnswers && !last.is_empty() {
        let copy = std::mem::take(last);
        if messages.write(copy.as_bytes()).await.is_err() {
            return false;
        }
        tokio::time::sleep(COPY_LEAD).await;
    }
    messages.write(text.as_bytes()).await.is_ok()
}

/// Time from a copy to the answer to the load request behind it.
const COPY_LEAD: Duration = Duration::from_millis(20);

/// Handles one request; returns false if the connection has to be closed.
///
/// `last` is the last answer on the connection if it is to be sent once more.
async fn answer(
    messages: &mut MessageStream,
    request: &Message,
    shared: &Shared,
    last: &mut String,
) -> bool {
    let id = request.get("gentianridge-attempt-id").unwrap_or_default();
    let load = make_load(shared);
    if request.start_line.starts_with("GET /health ") {
        shared.load_requests.fetch_add(1, Ordering::Relaxed);
        let status = *shared.health_status.lock();
        let headers = format!(
            "gentianridge-instance-id: {}\r\n{load}{}",
            shared.id,
            shared.health_headers.lock()
        );
        let endless = *shared.endless_health.lock();
        if let Some(endless) = endless {
            let sent = endless.send(messages, &headers).await;
            shared.endless_bytes.fetch_max(sent, Ordering::Relaxed);
            return false;
        }
        let text = reply(status, &headers, "");
        if status != 200 {
            return refuse(messages, text, shared, last).await;
        }
        return answer_load(messages, &text, shared, last).await;
    }
    let expected = request.get("gentianridge-expected-instance");
    if expected.is_some_and(|expected| expected != shared.id) {
        let text = reply(421, &format!("gentianridge-attempt-id: {id}\r\n"), "");
        return messages.write(text.as_bytes()).await.is_ok();
    }
    record_arrival(request, shared);
    let behavior = *shared.behavior.lock();
    let echo = make_echo(shared, id);
    let signed = format!("{echo}gentianridge-response-signature: {}\r\n", shared.id);
    match behavior {
        TargetBehavior::NotRun => {
            let text = reply(503, &format!("{echo}gentianridge-not-executed: 1\r\n"), "");
            return refuse(messages, text, shared, last).await;
        }
        TargetBehavior::Silent => {
            messages.wait_closed().await;
            return false;
        }
        _ => {}
    }
    let status = match run(messages, request, shared).await {
        RunEnd::Done => 200,
        RunEnd::OutOfTime => 504,
        RunEnd::ConnectionClosed => return false,
    };
    let body = format!("done by {}", shared.id);
    let text = match behavior {
        TargetBehavior::LostAnswer => return false,
        TargetBehavior::Crash => {
            // The listener closes first: a target that takes a new connection counts as
            // alive, and the request as one whose answer was lost.
            shared.crashed.notify_one();
            while !shared.is_listener_closed.load(Ordering::Acquire) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            return false;
        }
        TargetBehavior::OtherId => reply(200, &signed.replace(id, "another"), &body),
        TargetBehavior::Unsigned => reply(200, &echo, &body),
        TargetBehavior::PlainRefusal => reply(503, &echo, &body),
        TargetBehavior::LargeBody => reply(200, &signed, &"x".repeat(FakeTarget::LARGE_BODY)),
        TargetBehavior::SizedBody(size) => reply(200, &signed, &"x".repeat(size)),
        TargetBehavior::TruncatedLargeBody => {
            let complete = reply(200, &signed, &"x".repeat(FakeTarget::LARGE_BODY));
            let part = &complete.as_bytes()[..FakeTarget::LARGE_BODY / 8];
            // The connection closes in any case.
            let _ = messages.write(part).await;
            return false;
        }
        TargetBehavior::StartLine(line) => {
            let complete = reply(200, &signed, &body);
            complete.replacen("HTTP/1.1 200 x", line, 1)
        }
        TargetBehavior::Endless(endless) => {
            let sent = endless.send(messages, &signed).await;
            shared.endless_bytes.fetch_max(sent, Ordering::Relaxed);
            shared.cancelled.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        TargetBehavior::EndlessBody => {
            send_endless_body(messages, &signed, shared).await;
            return false;
        }
        TargetBehavior::TruncatedBody => {
            let complete = reply(200, &signed, &body);
            // The last 4 bytes that `content-length` announces are missing.
            let _ = messages
                .write(&complete.as_bytes()[..complete.len() - 4])
                .await;
            return false;
        }
        TargetBehavior::UnidentifiedRefusal => {
            reply(503, &format!("{load}gentianridge-not-executed: 1\r\n"), "")
        }
        TargetBehavior::TruncatedHead(bytes) => {
            let complete = reply(200, &signed, &body);
            let head = complete.len() - body.len();
            // The connection closes in any case.
            let _ = messages
                .write(&complete.as_bytes()[..bytes.min(head - 1)])
                .await;
            return false;
        }
        TargetBehavior::DuplicateAnswer => reply(200, &signed, &body).repeat(2),
        TargetBehavior::Normal
        | TargetBehavior::NotRun
        | TargetBehavior::Silent
        | TargetBehavior::EarlyAnswer
        | TargetBehavior::EarlyRefusal => reply(status, &signed, &body),
    };
    let copies = *shared.late_copies.lock();
    if copies == LateCopies::BeforeLoadAnswers {
        *last = text.clone();
        return messages.write(text.as_bytes()).await.is_ok();
    }
    let text = std::mem::take(last) + &text;
    messages.write(text.as_bytes()).await.is_ok()
}

/// Returns the header line that reports the load.
fn make_load(shared: &Shared) -> String {
    format!(
        "gentianridge-server-load: {},0,3,{}\r\n",
        shared.running.load(Ordering::Relaxed),
        *shared.work_percent.lock(),
    )
}

/// Returns the header lines of an answer to the request with the id.
pub(super) fn make_echo(shared: &Shared, id: &str) -> String {
    format!(
        "gentianridge-attempt-id: {id}\r\n{}{}",
        make_load(shared),
        shared.request_headers.lock()
    )
}

/// How the run of a request ended.
enum RunEnd {
    Done,
    /// The remaining time that the request states has passed.
    OutOfTime,
    ConnectionClosed,
}

/// Runs a request for the work time, after its time in the queue.
async fn run(messages: &mut MessageStream, request: &Message, shared: &Shared) -> RunEnd {
    let header = |name: &str| request.get(name).unwrap_or_default().to_owned();
    let queue_time = *shared.queue_time.lock();
    if !queue_time.is_zero() {
        tokio::time::sleep(queue_time).await;
    }
    let time_left_ms = header("gentianridge-deadline-ms").parse().unwrap_or(0);
    shared.runs.lock().push(Run {
        id: header("gentianridge-attempt-id"),
        time_left_ms,
        request_target: request
            .start_line
            .split(' ')
            .nth(1)
            .unwrap_or_default()
            .into(),
        headers: request.headers.clone(),
        body: request.body.clone(),
        started_at: Instant::now(),
    });
    shared.running.fetch_add(1, Ordering::Relaxed);
    let work_time = *shared.work_time.lock();
    let end = tokio::select! {
        () = tokio::time::sleep(work_time) => RunEnd::Done,
        () = tokio::time::sleep(Duration::from_millis(time_left_ms)) => RunEnd::OutOfTime,
        () = messages.wait_closed() => RunEnd::ConnectionClosed,
    };
    shared.running.fetch_sub(1, Ordering::Relaxed);
    if matches!(end, RunEnd::ConnectionClosed) {
        shared.cancelled.fetch_add(1, Ordering::Relaxed);
    }
    end
}

/// Sends a chunked body until the connection closes, which counts as a cancellation.
async fn send_endless_body(messages: &mut MessageStream, headers: &str, shared: &Shared) {
    let head = format!("HTTP/1.1 200 x\r\n{headers}transfer-encoding: chunked\r\n\r\n");
    let chunk = format!("{:x}\r\n{}\r\n", 4096, "x".repeat(4096));
    let mut is_open = messages.write(head.as_bytes()).await.is_ok();
    while is_open {
        tokio::time::sleep(Duration::from_millis(2)).await;
        is_open = messages.write(chunk.as_bytes()).await.is_ok();
    }
    shared.cancelled.fetch_add(1, Ordering::Relaxed);
}

pub(super) fn reply(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} x\r\nkeep-alive: timeout=10\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}
