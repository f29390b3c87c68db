//! Start, tasks and stop of a daemon on the platform.

use super::auxiliary::run_auxiliary;
use super::callers::{ShutdownStage, run_callers};
use super::feeds::follow_store;
use super::metrics::answer_metrics;
use super::peers::{
    follow_peers, keep_listed, keep_proven, keep_registered, run_gossip, run_limits,
    run_state_server,
};
use super::ready::answer_ready;
use super::shutdown::shut_down;
use super::sockets::GatewaySockets;
use super::state::Gateway;
use crate::clock::SystemClock;
use crate::supervise::supervise;
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

/// Time between two reads of the settings file, which may change without a
/// signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(1);
/// Time between two sweeps of idle connections and expired quarantines.
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

/// Runs a daemon on bound sockets until `stop` is ready, for tests and tools
/// that embed one. It blocks the calling thread, which nothing else may use.
///
/// # Errors
///
/// Fails if the runtime or the client of the store cannot be created.
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
    let socket = Rc::new(UdpSocket::from_std(sockets.peers)?);
    let state = Rc::new(TcpListener::from_std(sockets.state)?);
    gateway.journal.record(EventKind::VmStarted);
    let budget = gateway.memory.get_budget();
    log::info!(
        target: STATE_LOG_TARGET,
        vm = settings.vm.as_str(),
        domain = settings.domain.as_str(),
        callers = settings.callers.to_string().as_str(),
        store = settings.store.to_string().as_str(),
        memory_limit = budget.capacity as u64,
        connection_limit = budget.max_connections as u64;
        "gentianridged {} serves callers",
        env!("CARGO_PKG_VERSION")
    );
    let (shutdown_tx, shutdown) = watch::channel(ShutdownStage::KeepOpen);
    let connections = TaskTracker::new();
    let accept = tokio::task::spawn_local(run_callers(
        gateway.clone(),
        callers,
        shutdown,
        connections.clone(),
    ));
    tokio::task::spawn_local(run_auxiliary(gateway.clone(), ready, answer_ready));
    if let Some(listener) = sockets.metrics {
        let listener = TcpListener::from_std(listener)?;
        tokio::task::spawn_local(run_auxiliary(gateway.clone(), listener, answer_metrics));
    }
    let limits_socket = socket.clone();
    spawn_supervised(&gateway, "gossip", move |gateway| {
        run_gossip(gateway, socket.clone())
    });
    spawn_supervised(&gateway, "limits", move |gateway| {
        run_limits(gateway, limits_socket.clone())
    });
    spawn_supervised(&gateway, "state server", move |gateway| {
        run_state_server(gateway, state.clone())
    });
    spawn_supervised(&gateway, "registration", keep_registered);
    spawn_supervised(&gateway, "list of the fleet", keep_listed);
    spawn_supervised(&gateway, "fetches from peers", follow_peers);
    spawn_supervised(&gateway, "proofs of the configuration", keep_proven);
    spawn_supervised(&gateway, "reads of the store", follow_store);
    spawn_supervised(&gateway, "sweep", sweep);
    stop.await;
    shut_down(&gateway, &shutdown_tx, accept, &connections).await;
    Ok(())
}

fn spawn_supervised<F: Future<Output = ()> + 'static>(
    gateway: &Rc<Gateway>,
    name: &'static str,
    mut make: impl FnMut(Rc<Gateway>) -> F + 'static,
) {
    let gateway = gateway.clone();
    tokio::task::spawn_local(supervise(name, move || make(gateway.clone())));
}

async fn sweep(gateway: Rc<Gateway>) {
    let mut period = tokio::time::interval(SWEEP_PERIOD);
    loop {
        period.tick().await;
        gateway.connections.sweep(gateway.clock.now());
        gateway.expire_quarantine();
    }
}

/// Returns a future that is ready when the process receives SIGTERM or
/// SIGINT.
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

/// Applies changed settings, at SIGHUP and when the file has changed.
async fn follow_settings(gateway: Rc<Gateway>, path: String) {
    let mut poll = tokio::time::interval(SETTINGS_PERIOD);
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!("cannot listen for SIGHUP: {error}");
            return;
        }
    };
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            _ = poll.tick() => {}
        }
        reload(&gateway, &path);
    }
}

/// Reads the settings again; a file with a fault is ignored.
fn reload(gateway: &Gateway, path: &str) {
    match load(path) {
        Ok(settings) => gateway.apply_settings(settings),
        Err(error) => log::error!("settings not changed: {error:#}"),
    }
}
