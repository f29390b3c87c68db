//! The load of a run: callers, the balancer of the platform, and version checks.

use super::keys::{LASTING_KEY, get_key};
use super::plan::VMS;
use super::record::{Record, RequestOutcome, SentRequest, VersionCheck};
use crate::CallerConnection;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Remaining time that callers state in their requests.
const TIME_LEFT_MS: u64 = 3_000;
/// Time that callers wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time within which a connection has to open, or a readiness check has to be answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Share of the requests that must not run twice.
const ONCE_SHARE: f64 = 0.4;
/// Time between two readiness checks of the balancer.
const READINESS_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two version checks on a VM.
const VERSION_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Longest wait for the answer to a version check.
const VERSION_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Addresses and state of the VMs, shared by all load tasks.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) callers: Vec<SocketAddr>,
    pub(super) ready: Vec<SocketAddr>,
    /// True if requests need keys.
    pub(super) is_keyed: bool,
    /// How often the daemon of each VM was started.
    pub(super) starts: Vec<AtomicU32>,
    /// Whether the balancer sends callers to the VM.
    pub(super) in_rotation: Mutex<Vec<bool>>,
    /// Ends the load tasks.
    pub(super) is_stopped: AtomicBool,
}

impl Fleet {
    /// Returns true until the load has to end.
    pub(super) fn is_running(&self) -> bool {
        !self.is_stopped.load(Ordering::Relaxed)
    }

    /// Opens a connection to a VM whose requests carry a key that stays in force, if they
    /// need one.
    pub(super) async fn open(&self, vm: usize) -> anyhow::Result<CallerConnection> {
        let mut connection = CallerConnection::open(self.callers[vm]).await?;
        if self.is_keyed {
            connection.set_key(LASTING_KEY);
        }
        Ok(connection)
    }

    /// Chooses a VM in rotation, or any VM if none is.
    fn choose_vm(&self, rng: &mut Pcg32) -> usize {
        let rotation = self.in_rotation.lock().clone();
        let ready: Vec<usize> = (0..VMS).filter(|vm| rotation[*vm]).collect();
        match ready.len() {
            0 => rng.random_range(0..VMS),
            len => ready[rng.random_range(0..len)],
        }
    }
}

/// Removes VMs from the rotation after two failed readiness checks in a row, as the
/// platform does.
pub(super) async fn run_balancer(fleet: Arc<Fleet>) {
    let mut failures = [0; VMS];
    while fleet.is_running() {
        for (vm, failures) in failures.iter_mut().enumerate() {
            let is_ready = check_readiness(fleet.ready[vm]).await == Some(200);
            *failures = if is_ready { 0 } else { *failures + 1 };
            fleet.in_rotation.lock()[vm] = *failures < 2;
        }
        tokio::time::sleep(READINESS_INTERVAL).await;
    }
}

/// Returns the status of a VM's readiness check, `None` without an answer in time.
pub(super) async fn check_readiness(addr: SocketAddr) -> Option<u16> {
    let request = async {
        let mut connection = CallerConnection::open(addr).await.ok()?;
        let reply = connection.request("GET", "/api/readiness", "ready").await;
        reply.ok().map(|reply| reply.status)
    };
    timeout(CONNECT_TIMEOUT, request).await.ok().flatten()
}

/// Runs one caller, which mostly keeps its connection until the daemon closes it.
pub(super) async fn run_caller(fleet: Arc<Fleet>, record: Arc<Record>, index: usize, seed: u64) {
    let mut rng = Pcg32::seed_from_u64(seed ^ (index as u64) << 32);
    let mut open_connection: Option<(usize, CallerConnection)> = None;
    let mut count = 0;
    let key = fleet.is_keyed.then(|| get_key(index));
    while fleet.is_running() {
        let pause = Duration::from_millis(rng.random_range(10..90));
        tokio::time::sleep(pause).await;
        let vm = match &open_connection {
            Some((vm, _)) => *vm,
            None => {
                let vm = fleet.choose_vm(&mut rng);
                let open = CallerConnection::open(fleet.callers[vm]);
                let Ok(Ok(mut connection)) = timeout(CONNECT_TIMEOUT, open).await else {
                    continue;
                };
                if let Some(key) = key {
                    connection.set_key(key);
                }
                open_connection = Some((vm, connection));
                vm
            }
        };
        let Some((_, mut connection)) = open_connection.take() else {
            continue;
        };
        count += 1;
        let is_once = rng.random_bool(ONCE_SHARE);
        let id = format!("c{index}-{count}");
        let sent_at = Instant::now();
        let outcome = exchange(&mut connection, &id, is_once).await;
        let is_reusable = matches!(&outcome, RequestOutcome::Reply(reply) if !reply.is_closing());
        if is_reusable && rng.random_bool(0.95) {
            open_connection = Some((vm, connection));
        }
        record.requests.lock().push(SentRequest {
            id,
            is_once,
            vm,
            key,
            sent_at,
            ended_at: Instant::now(),
            outcome,
        });
    }
}

/// Sends a request and waits for its outcome.
pub(super) async fn exchange(
    connection: &mut CallerConnection,
    id: &str,
    is_once: bool,
) -> RequestOutcome {
    let (method, path) = if is_once {
        ("POST", "/once/x")
    } else {
        ("GET", "/look/x")
    };
    if connection
        .send(method, path, id, TIME_LEFT_MS)
        .await
        .is_err()
    {
        return RequestOutcome::ConnectionClosed;
    }
    match timeout(ANSWER_TIMEOUT, connection.receive()).await {
        Ok(Ok(Some(reply))) => RequestOutcome::Reply(reply),
        Ok(Ok(None)) => RequestOutcome::ConnectionClosed,
        Ok(Err(_)) | Err(_) => RequestOutcome::TimedOut,
    }
}

/// Checks repeatedly whether a VM has the newest configuration and the one before it
/// in force, in turn.
pub(super) async fn run_version_checks(fleet: Arc<Fleet>, record: Arc<Record>, vm: usize) {
    let mut round = 0;
    while fleet.is_running() {
        tokio::time::sleep(VERSION_CHECK_INTERVAL).await;
        round += 1;
        let version = {
            let versions = record.versions.lock();
            let newest = versions.len().checked_sub(1 + round % 2);
            newest.map(|index| versions[index].0)
        };
        let Some(version) = version else {
            continue;
        };
        let start = fleet.starts[vm].load(Ordering::Relaxed);
        let sent_at = Instant::now();
        let status = request_version(&fleet, vm, version).await;
        let is_in_force = match status {
            Some(200) => true,
            Some(404) => false,
            Some(_) | None => continue,
        };
        if fleet.starts[vm].load(Ordering::Relaxed) == start {
            record.version_checks.lock().push(VersionCheck {
                vm,
                start,
                version,
                sent_at,
                ended_at: Instant::now(),
                is_in_force,
            });
        }
    }
}

/// Returns the status of a request to the route that only `version` and later ones have.
async fn request_version(fleet: &Fleet, vm: usize, version: u64) -> Option<u16> {
    let request = async {
        let mut connection = fleet.open(vm).await.ok()?;
        let id = format!("{}{version}", super::CHECK_ID_PREFIX);
        let path = format!("/v{version}/x");
        let reply = connection.request("GET", &path, &id).await;
        reply.ok().map(|reply| reply.status)
    };
    timeout(VERSION_CHECK_TIMEOUT, request).await.ok().flatten()
}
