//! Connections of callers.

use super::activity::{Activity, Limit};
use super::counted::{ByteCounts, CountedStream};
use super::exchange::answer;
use super::state::Gateway;
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

/// How far a planned stop has come, as connections see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownStage {
    /// Connections are kept.
    No,
    /// Connections end with the answer that is under way.
    AfterAnswer,
    /// Idle connections end as well.
    Now,
}

/// Smallest buffer that the HTTP server works with, in bytes.
const MIN_BUFFER: usize = 8 * 1024;
/// Pause after a failed accept, such as one for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the task is dropped.
pub(crate) async fn run_callers(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    closing: watch::Receiver<ShutdownStage>,
    tasks: TaskTracker,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = serve(gateway.clone(), stream, closing.clone());
                tasks.spawn_local(connection);
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    mut closing: watch::Receiver<ShutdownStage>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a caller's connection ended at once: {error}");
        return;
    }
    let counts = Rc::new(ByteCounts::default());
    let activity = Rc::new(Activity::new(gateway.clock.now(), counts.clone()));
    let service = service_fn(|request| {
        let gateway = gateway.clone();
        let activity = activity.clone();
        async move {
            activity.start_request();
            let _busy = BusyGuard {
                activity,
                gateway: gateway.clone(),
            };
            answer(gateway, request).await
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
    loop {
        let step = poll_fn(|cx| {
            if let Poll::Ready(end) = connection.as_mut().poll(cx) {
                return Poll::Ready(Step::Ended(end));
            }
            // What was just read may have begun a head, or ended a request.
            let now = gateway.clock.now();
            let Some((end, at)) = activity.get_limit(now, gateway.get_limits()) else {
                return Poll::Pending;
            };
            if timer.deadline() != at.into() {
                timer.as_mut().reset(at.into());
            }
            timer.as_mut().poll(cx).map(|()| Step::Limit(end))
        });
        tokio::select! {
            step = step => match step {
                Step::Ended(Ok(())) => return,
                Step::Ended(Err(error)) => {
                    log::debug!("a caller's connection ended: {error}");
                    return;
                }
                Step::Limit(Limit::Head) => {
                    gateway.metrics.record_refusal(ResultCode::SlowCaller);
                    log::warn!(target: "request", "a request head did not end in time");
                    return;
                }
                Step::Limit(Limit::Idle) => {
                    activity.end_request(gateway.clock.now());
                    connection.as_mut().graceful_shutdown();
                }
            },
            Ok(()) = closing.changed() => {
                let step = *closing.borrow();
                if step == ShutdownStage::Now || (step == ShutdownStage::AfterAnswer && activity.is_busy()) {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// What a connection's loop waits for.
enum Step {
    Ended(hyper::Result<()>),
    Limit(Limit),
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
