//! Connections of callers.

use super::exchange::answer;
use super::state::Gateway;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

/// How far a planned stop has come, as connections see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Closing {
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
    closing: watch::Receiver<Closing>,
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

/// What a connection's loop and its requests share.
struct Activity {
    is_busy: Cell<bool>,
    last: Cell<Instant>,
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream, mut closing: watch::Receiver<Closing>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a caller's connection ended at once: {error}");
        return;
    }
    let activity = Rc::new(Activity {
        is_busy: Cell::new(false),
        last: Cell::new(gateway.clock.now()),
    });
    let service = service_fn(|request| {
        let gateway = gateway.clone();
        let activity = activity.clone();
        async move {
            activity.is_busy.set(true);
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
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    loop {
        let idle_at = activity.last.get() + gateway.get_limits().idle_timeout;
        tokio::select! {
            end = connection.as_mut() => {
                if let Err(error) = end {
                    log::debug!("a caller's connection ended: {error}");
                }
                return;
            }
            () = tokio::time::sleep_until(idle_at.into()) => {
                if activity.is_busy.get() {
                    activity.last.set(gateway.clock.now());
                } else if activity.last.get() + gateway.get_limits().idle_timeout <= gateway.clock.now() {
                    connection.as_mut().graceful_shutdown();
                }
            }
            Ok(()) = closing.changed() => {
                let step = *closing.borrow();
                if step == Closing::Now || (step == Closing::AfterAnswer && activity.is_busy.get()) {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

struct BusyGuard {
    activity: Rc<Activity>,
    gateway: Rc<Gateway>,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.activity.is_busy.set(false);
        self.activity.last.set(self.gateway.clock.now());
    }
}
