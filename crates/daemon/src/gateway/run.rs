//! The life of a daemon on the platform.

use super::callers::{Closing, run_callers};
use super::feeds::follow_store;
use super::metrics::answer_metrics;
use super::peers::{register, run_peers, unregister};
use super::ready::answer_ready;
use super::side::run_side;
use super::sockets::GatewaySockets;
use super::state::Gateway;
use crate::clock::SystemClock;
use crate::telemetry::{STATE_LOG_TARGET, start_logging};
use anyhow::Context;
use gentianridge_config::{GatewaySettings, parse_gateway_settings};
use gentianridge_core::EventKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio_util::task::TaskTracker;

/// Time after SIGTERM in which the balancer notices that this VM is not ready:
/// it asks once a second and wants two misses.
const NOTICE: Duration = Duration::from_millis(2_500);
/// Part of the grace time that is kept for the end of the process itself.
const END_MARGIN: Duration = Duration::from_millis(300);
/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(1);
/// Time between two sweeps of idle connections and expired marks.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Runs a daemon with the settings file until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the settings are wrong or an address cannot be bound.
pub fn run_gateway(path: &str) -> anyhow::Result<()> {
    let mut settings = load(path)?;
    let lines = start_logging(&settings.log_level, settings.log_format);
    let sockets = GatewaySockets::bind(&mut settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let run = async {
        let gateway = Gateway::new(settings, Arc::new(SystemClock), Some(lines))?;
        tokio::task::spawn_local(follow_settings(gateway.clone(), path.to_owned()));
        serve(gateway, sockets, wait_for_signal()?).await
    };
    runtime.block_on(LocalSet::new().run_until(run))
}

/// Runs a daemon on bound sockets until `stop` is ready, on a thread of its
/// own that it must have for itself; for tests and tools that embed one.
///
/// # Errors
///
/// Fails if the runtime or the client of the store cannot be made.
pub fn run_gateway_until(
    settings: GatewaySettings,
    sockets: GatewaySockets,
    stop: impl Future<Output = ()>,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let run = async {
        let gateway = Gateway::new(settings, Arc::new(SystemClock), None)?;
        serve(gateway, sockets, stop).await
    };
    runtime.block_on(LocalSet::new().run_until(run))
}

fn load(path: &str) -> anyhow::Result<GatewaySettings> {
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {path}"))?;
    parse_gateway_settings(&text).map_err(|report| anyhow::anyhow!("{path}:\n{report}"))
}

async fn serve(
    gateway: Rc<Gateway>,
    sockets: GatewaySockets,
    stop: impl Future<Output = ()>,
) -> anyhow::Result<()> {
    let settings = gateway.get_settings().clone();
    let callers = TcpListener::from_std(sockets.callers)?;
    let ready = TcpListener::from_std(sockets.ready)?;
    let socket = UdpSocket::from_std(sockets.peers)?;
    gateway.journal.record(EventKind::VmStarted);
    log::info!(
        target: STATE_LOG_TARGET,
        vm = settings.vm.as_str(),
        domain = settings.domain.as_str(),
        callers = settings.callers.to_string().as_str(),
        store = settings.store.to_string().as_str();
        "gentianridged {} serves callers",
        env!("CARGO_PKG_VERSION")
    );
    let (close, closing) = watch::channel(Closing::No);
    let connections = TaskTracker::new();
    let accept = tokio::task::spawn_local(run_callers(
        gateway.clone(),
        callers,
        closing,
        connections.clone(),
    ));
    tokio::task::spawn_local(run_side(gateway.clone(), ready, answer_ready));
    if let Some(listener) = sockets.metrics {
        let listener = TcpListener::from_std(listener)?;
        tokio::task::spawn_local(run_side(gateway.clone(), listener, answer_metrics));
    }
    tokio::task::spawn_local(run_peers(gateway.clone(), socket));
    tokio::task::spawn_local(register(gateway.clone()));
    tokio::task::spawn_local(follow_store(gateway.clone()));
    tokio::task::spawn_local(sweep(gateway.clone()));
    stop.await;
    end(&gateway, &close, &connections).await;
    accept.abort();
    Ok(())
}

async fn sweep(gateway: Rc<Gateway>) {
    let mut period = tokio::time::interval(SWEEP_PERIOD);
    loop {
        period.tick().await;
        gateway.links.sweep(gateway.clock.now());
        gateway.expire_marks();
    }
}

/// Returns a future that is ready when the process is asked to stop.
fn wait_for_signal() -> anyhow::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

/// Takes in changed settings, at SIGHUP and when the file is another one.
async fn follow_settings(gateway: Rc<Gateway>, path: String) {
    let mut look = tokio::time::interval(SETTINGS_PERIOD);
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!("SIGHUP cannot be watched: {error}");
            return;
        }
    };
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            _ = look.tick() => {}
        }
        reload(&gateway, &path);
    }
}

/// Reads the settings again; a file with a fault changes nothing.
fn reload(gateway: &Gateway, path: &str) {
    match load(path) {
        Ok(settings) => gateway.change_settings(settings),
        Err(error) => log::error!("settings stay as they are: {error:#}"),
    }
}

/// Ends the process without a lost request.
async fn end(gateway: &Rc<Gateway>, close: &watch::Sender<Closing>, connections: &TaskTracker) {
    let end = tokio::time::Instant::now() + gateway.get_settings().grace - END_MARGIN;
    gateway.stop();
    tokio::task::spawn_local(unregister(gateway.clone()));
    close.send_replace(Closing::AfterAnswer);
    tokio::time::sleep(NOTICE).await;
    close.send_replace(Closing::Now);
    connections.close();
    if tokio::time::timeout_at(end, connections.wait())
        .await
        .is_err()
    {
        log::warn!(
            "{} connections cut at the end of the grace time",
            connections.len()
        );
    }
}
