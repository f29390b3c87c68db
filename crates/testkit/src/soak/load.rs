//! Callers that keep their connections, and looks at configurations.

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

/// Time that callers say they wait, and for which they do.
const TIME_LEFT_MS: u64 = 3_000;
const PATIENCE: Duration = Duration::from_millis(4_000);
/// Time within which a connection has to open.
const CONNECT: Duration = Duration::from_millis(500);
/// Share of the requests that must not run twice.
const ONCE_SHARE: f64 = 0.4;
/// Time between two questions of the balancer, which wants two misses.
const BALANCER: Duration = Duration::from_millis(500);
/// Time between two looks at the configurations of a VM.
const LOOKS: Duration = Duration::from_millis(150);
/// Longest wait for the answer to a look.
const LOOK_PATIENCE: Duration = Duration::from_millis(500);

/// Addresses of the VMs and what is known of them.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) callers: Vec<SocketAddr>,
    pub(super) ready: Vec<SocketAddr>,
    pub(super) starts: Vec<AtomicU32>,
    pub(super) in_rotation: Mutex<Vec<bool>>,
    pub(super) is_over: AtomicBool,
}

impl Fleet {
    /// Returns true as long as load is wanted.
    pub(super) fn is_running(&self) -> bool {
        !self.is_over.load(Ordering::Relaxed)
    }

    fn choose(&self, rng: &mut Pcg32) -> usize {
        let rotation = self.in_rotation.lock().clone();
        let ready: Vec<usize> = (0..VMS).filter(|vm| rotation[*vm]).collect();
        match ready.len() {
            0 => rng.random_range(0..VMS),
            len => ready[rng.random_range(0..len)],
        }
    }
}

/// Takes VMs that are not ready out of the rotation, as the platform does.
pub(super) async fn run_balancer(fleet: Arc<Fleet>) {
    let mut misses = [0; VMS];
    while fleet.is_running() {
        for (vm, misses) in misses.iter_mut().enumerate() {
            let is_ready = check_readiness(fleet.ready[vm]).await == Some(200);
            *misses = if is_ready { 0 } else { *misses + 1 };
            fleet.in_rotation.lock()[vm] = *misses < 2;
        }
        tokio::time::sleep(BALANCER).await;
    }
}

/// Returns the status of the answer to the balancer's question.
pub(super) async fn check_readiness(addr: SocketAddr) -> Option<u16> {
    let request = async {
        let mut connection = CallerConnection::open(addr).await.ok()?;
        let reply = connection.request("GET", "/api/readiness", "ready").await;
        reply.ok().map(|reply| reply.status)
    };
    timeout(CONNECT, request).await.ok().flatten()
}

/// One caller: it keeps its connection until that ends.
pub(super) async fn run_caller(fleet: Arc<Fleet>, record: Arc<Record>, index: usize, seed: u64) {
    let mut rng = Pcg32::seed_from_u64(seed ^ (index as u64) << 32);
    let mut kept: Option<(usize, CallerConnection)> = None;
    let mut count = 0;
    while fleet.is_running() {
        let pause = Duration::from_millis(rng.random_range(10..90));
        tokio::time::sleep(pause).await;
        let vm = match &kept {
            Some((vm, _)) => *vm,
            None => {
                let vm = fleet.choose(&mut rng);
                let open = CallerConnection::open(fleet.callers[vm]);
                let Ok(Ok(connection)) = timeout(CONNECT, open).await else {
                    continue;
                };
                kept = Some((vm, connection));
                vm
            }
        };
        let Some((_, mut connection)) = kept.take() else {
            continue;
        };
        count += 1;
        let is_once = rng.random_bool(ONCE_SHARE);
        let id = format!("c{index}-{count}");
        let sent = Instant::now();
        let end = exchange(&mut connection, &id, is_once).await;
        let is_kept = matches!(&end, RequestOutcome::Reply(reply) if !reply.is_closing());
        if is_kept && rng.random_bool(0.95) {
            kept = Some((vm, connection));
        }
        record.sent.lock().push(SentRequest {
            id,
            is_once,
            vm,
            sent,
            ended: Instant::now(),
            end,
        });
    }
}

/// Sends a request and waits for its end.
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
    match timeout(PATIENCE, connection.receive()).await {
        Ok(Ok(Some(reply))) => RequestOutcome::Reply(reply),
        Ok(Ok(None)) => RequestOutcome::ConnectionClosed,
        Ok(Err(_)) | Err(_) => RequestOutcome::TimedOut,
    }
}

/// Asks each VM again and again for the newest configuration and older ones.
pub(super) async fn run_version_checks(fleet: Arc<Fleet>, record: Arc<Record>, vm: usize) {
    let mut turn = 0;
    while fleet.is_running() {
        tokio::time::sleep(LOOKS).await;
        turn += 1;
        let version = {
            let versions = record.versions.lock();
            let newest = versions.len().checked_sub(1 + turn % 2);
            newest.map(|index| versions[index].0)
        };
        let Some(version) = version else {
            continue;
        };
        let start = fleet.starts[vm].load(Ordering::Relaxed);
        let sent = Instant::now();
        let status = ask_version(fleet.callers[vm], version).await;
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
                sent,
                ended: Instant::now(),
                is_in_force,
            });
        }
    }
}

async fn ask_version(addr: SocketAddr, version: u64) -> Option<u16> {
    let request = async {
        let mut connection = CallerConnection::open(addr).await.ok()?;
        let id = format!("{}{version}", super::CHECK_ID_PREFIX);
        let path = format!("/v{version}/x");
        let reply = connection.request("GET", &path, &id).await;
        reply.ok().map(|reply| reply.status)
    };
    timeout(LOOK_PATIENCE, request).await.ok().flatten()
}
