//! Callers' connections.

use super::activity::{Activity, TimeoutKind};
use super::counted::{ByteCounts, CountedStream};
use super::exchange::handle_request;
use super::memory::ConnectionMemory;
use super::state::Gateway;
use futures_util::FutureExt;
use gentianridge_core::ResultCode;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

/// Stage of a planned stop for callers' connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownStage {
    /// Connections stay open.
    KeepOpen,
    /// Each connection closes after the answer that is under way.
    CloseAfterAnswer,
    /// Idle connections close as well.
    CloseIdle,
    /// No connection is accepted any more.
    CloseListener,
}

/// Minimum buffer size that hyper accepts, in bytes.
const MIN_BUFFER: usize = 8 * 1024;
/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the stage [`ShutdownStage::CloseListener`].
pub(crate) async fn run_callers(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    mut shutdown: watch::Receiver<ShutdownStage>,
    tasks: TaskTracker,
) {
    let stages = shutdown.clone();
    let spawn = |stream: TcpStream| match gateway.memory.open() {
        Some(memory) => {
            tasks.spawn_local(serve(gateway.clone(), stream, memory, stages.clone()));
        }
        None => gateway.record_closed("connections"),
    };
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => spawn(stream),
                Err(error) => {
                    log::warn!("cannot accept a connection: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            _ = shutdown.wait_for(|stage| *stage == ShutdownStage::CloseListener) => break,
        }
    }
    // The kernel resets the connections that are still in the queue of the listener when
    // it is closed. The yield lets the runtime detect them.
    tokio::task::yield_now().await;
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        spawn(stream);
    }
}

async fn serve(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    memory: ConnectionMemory,
    mut shutdown: watch::Receiver<ShutdownStage>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a caller's connection was closed at once: {error}");
        return;
    }
    let counts = Rc::new(ByteCounts::default());
    let activity = Rc::new(Activity::new(
        gateway.clock.now(),
        counts.clone(),
        Rc::new(memory),
    ));
    let evicted = activity.get_memory().get_evicted().clone();
    let service = service_fn(|request| {
        let gateway = gateway.clone();
        let activity = activity.clone();
        async move {
            activity.start_request();
            let _busy = BusyGuard {
                activity: activity.clone(),
                gateway: gateway.clone(),
            };
            handle_request(gateway, activity, request).await
        }
    });
    let buffer = gateway.get_limits().max_header_bytes.max(MIN_BUFFER);
    let connection = Builder::new()
        .auto_date_header(false)
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(CountedStream::new(stream, counts)), service);
    tokio::pin!(connection);
    let timer = tokio::time::sleep(Duration::ZERO);
    tokio::pin!(timer);
    let mut is_closing = false;
    let mut is_evicted = false;
    loop {
        let stage = *shutdown.borrow_and_update();
        let event = poll_fn(|cx| {
            if let Poll::Ready(end) = connection.as_mut().poll(cx) {
                return Poll::Ready(ConnectionEvent::Ended(end));
            }
            // The poll may have read the start of a head or ended a request,
            // either of which changes the timeout.
            let now = gateway.clock.now();
            if !activity.update_memory(now) {
                return Poll::Ready(ConnectionEvent::Evicted);
            }
            let answer_idle = gateway.get_settings().answer_idle;
            let waiting = activity.get_timeout(now, gateway.get_limits(), stage);
            // While it closes, the rest of the last answer is being written.
            let waiting = waiting.filter(|_| !is_closing);
            let answering = activity.get_answer_timeout(answer_idle);
            let due = [waiting, answering].into_iter().flatten();
            let Some((kind, at)) = due.min_by_key(|(_, at)| *at) else {
                return Poll::Pending;
            };
            if timer.deadline() != at.into() {
                timer.as_mut().reset(at.into());
            }
            timer
                .as_mut()
                .poll(cx)
                .map(|()| ConnectionEvent::TimedOut(kind))
        });
        tokio::select! {
            biased;
            event = event => match event {
                ConnectionEvent::Ended(Ok(())) => return,
                ConnectionEvent::Ended(Err(error)) => {
                    log::debug!("a caller's connection ended: {error}");
                    return;
                }
                ConnectionEvent::TimedOut(TimeoutKind::Head) => {
                    gateway.metrics.record_refusal(ResultCode::SlowCaller);
                    log::warn!(target: "request", "request head incomplete after the header timeout");
                    return;
                }
                ConnectionEvent::TimedOut(TimeoutKind::Answer) => {
                    gateway.record_closed("unread answer");
                    return;
                }
                ConnectionEvent::Evicted => {
                    gateway.record_closed("memory");
                    return;
                }
                ConnectionEvent::TimedOut(TimeoutKind::Idle) => {
                    connection.as_mut().graceful_shutdown();
                    is_closing = true;
                }
            },
            () = evicted.cancelled(), if !is_evicted => {
                gateway.record_closed("gave way");
                if !activity.is_busy() {
                    return;
                }
                // The request that is being read gets a refusal first.
                connection.as_mut().graceful_shutdown();
                is_evicted = true;
            }
            Ok(()) = shutdown.changed() => {
                if activity.is_busy() {
                    connection.as_mut().graceful_shutdown();
                }
                // Lets the runtime detect bytes that have arrived, so that a request
                // among them is read before its connection counts as idle.
                tokio::task::yield_now().await;
            }
        }
    }
}

/// Event that a connection's loop handles.
enum ConnectionEvent {
    Ended(hyper::Result<()>),
    TimedOut(TimeoutKind),
    /// There is no memory for the connection.
    Evicted,
}

struct BusyGuard {
    activity: Rc<Activity>,
    gateway: Rc<Gateway>,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.activity.end_request(self.gateway.clock.now());
    }
}

/// Closed connections.
impl Gateway {
    /// Counts and logs a connection that is closed to protect this VM. The log bounds the
    /// lines per second.
    fn record_closed(&self, reason: &'static str) {
        self.metrics.record_closed_caller(reason);
        log::warn!(target: "callers", reason = reason; "a caller's connection is closed");
    }
}
