//! Run of a local fleet under load with seeded faults.

use super::{History, Leave, RevisionSample, SubmissionResult};
use crate::{CallPlan, CallResult, Deployment, FleetOptions, LocalFleet, run_calls};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_millis(3_000);
/// Time after the load in which the fleet recovers.
const RECOVERY_DURATION: Duration = Duration::from_millis(5_500);
/// Time between two samples of the revisions.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const FAULT_COUNT: usize = 6;
const VM_COUNT: usize = 3;
const LOOKUPS_PER_SECOND: u64 = 120;
const CONFIRMS_PER_SECOND: u64 = 30;
/// Share of the confirmations that are repeated with the same key.
const REPEAT_SHARE: f64 = 0.3;

/// A fault that can be injected.
#[derive(Debug, Clone, Copy)]
enum Fault {
    StoreDown,
    StoreLosesReplies,
    StoreSlow,
    StoreSilent,
    TargetKilled { service: usize, target: usize },
    TargetSlow { service: usize, target: usize },
    TargetLeaves { target: usize },
    TargetSilent { service: usize, target: usize },
    TargetTruncates { target: usize },
    RequestCrashes,
    VmKilled,
    VmReplaced,
    OperatorsRace,
}

/// Runs a small fleet under load and injects faults drawn from the seed.
///
/// # Errors
///
/// Fails if the fleet cannot be started.
pub async fn run_history(seed: u64) -> anyhow::Result<History> {
    let options = FleetOptions::new(Deployment::SorteggioNero)
        .vms(VM_COUNT)
        .seed(seed);
    let fleet = LocalFleet::start_ready(options).await?;
    let mut rng = Pcg32::seed_from_u64(seed);
    let started = Instant::now();
    let load = tokio::spawn(run_load(fleet.get_callers(), seed));
    let fleet = Arc::new(Mutex::new(fleet));
    let sampler = tokio::spawn(sample_revisions(fleet.clone(), started));
    let mut injector = FaultInjector {
        history: History::default(),
        started,
        leaving_targets: Vec::new(),
    };
    for _ in 0..FAULT_COUNT {
        let pause = LOAD_DURATION.mul_f64(rng.random_range(0.5..1.5) / FAULT_COUNT as f64);
        tokio::time::sleep(pause).await;
        let fault = draw_fault(&mut rng);
        injector
            .history
            .faults
            .push(format!("{:?} at {:?}", fault, started.elapsed()));
        injector.inject(&fleet, fault, &mut rng).await?;
    }
    injector.history.calls = load.await?;
    clear_faults(&*fleet.lock().await);
    tokio::time::sleep(RECOVERY_DURATION).await;
    injector.history.length = started.elapsed();
    injector.history.revisions = sampler.await?;
    let fleet = fleet.lock().await;
    injector.record_end(&fleet);
    Ok(injector.history)
}

struct FaultInjector {
    history: History,
    started: Instant,
    /// Targets of the first service that announced their leave, with the time of the announcement.
    leaving_targets: Vec<(usize, Duration)>,
}

impl FaultInjector {
    async fn inject(
        &mut self,
        fleet: &Arc<Mutex<LocalFleet>>,
        fault: Fault,
        rng: &mut Pcg32,
    ) -> anyhow::Result<()> {
        let mut fleet_guard = fleet.lock().await;
        let store = fleet_guard.platform.get_faults();
        match fault {
            Fault::StoreDown => store.set_down(true),
            Fault::StoreLosesReplies => store.lose_answers(0.2),
            Fault::StoreSlow => store.set_latency(Duration::from_millis(120)),
            Fault::StoreSilent => store.set_silent(true),
            Fault::TargetKilled { service, target } => fleet_guard.targets[service][target].kill(),
            Fault::TargetSlow { service, target } => {
                fleet_guard.targets[service][target]
                    .get_faults()
                    .set_slow_factor(10);
            }
            Fault::TargetLeaves { target } => {
                fleet_guard.targets[0][target]
                    .get_faults()
                    .set_leaving(true);
                self.leaving_targets.push((target, self.started.elapsed()));
            }
            Fault::TargetSilent { service, target } => {
                fleet_guard.targets[service][target].silence_connections();
            }
            Fault::TargetTruncates { target } => {
                fleet_guard.targets[0][target]
                    .get_faults()
                    .set_truncate_answers(true);
            }
            Fault::RequestCrashes => {
                for target in &fleet_guard.targets[0] {
                    target.get_faults().crash_on(Some("n=13&"));
                }
            }
            Fault::VmKilled => {
                if fleet_guard.vms.len() > 1 {
                    fleet_guard.vms.remove(0).kill();
                }
            }
            Fault::VmReplaced => {
                fleet_guard.add_vm().await?;
                let replaced = fleet_guard.vms.remove(0);
                tokio::spawn(replaced.stop());
            }
            Fault::OperatorsRace => {
                let results = submit_concurrently(&fleet_guard, self.started).await;
                self.history.submissions.extend(results);
            }
        }
        drop(fleet_guard);
        if rng.random_bool(0.5) && !matches!(fault, Fault::TargetLeaves { .. }) {
            tokio::time::sleep(Duration::from_millis(200)).await;
            clear_faults(&*fleet.lock().await);
        }
        Ok(())
    }

    fn record_end(&mut self, fleet: &LocalFleet) {
        self.history.survivors = fleet
            .vms
            .iter()
            .map(|vm| vm.get_name().to_owned())
            .collect();
        self.history.runs = fleet.runs.list();
        for (target, announced) in &self.leaving_targets {
            let target_server = &fleet.targets[0][*target];
            let last_request = target_server.get_last_request();
            self.history.leaves.push(Leave {
                target: target_server.get_name().to_owned(),
                announced: *announced,
                last_request: last_request.map_or(Duration::ZERO, |at| {
                    at.saturating_duration_since(self.started)
                }),
            });
        }
    }
}

/// Clears all faults that can be cleared.
fn clear_faults(fleet: &LocalFleet) {
    let store = fleet.platform.get_faults();
    store.set_down(false);
    store.set_silent(false);
    store.lose_answers(0.0);
    store.set_latency(Duration::from_millis(2));
    for target in fleet.targets.iter().flatten() {
        target.get_faults().set_slow_factor(1);
        target.get_faults().set_truncate_answers(false);
        target.get_faults().crash_on(None);
    }
}

/// Submits two files with the same base revision through two VMs at once.
async fn submit_concurrently(fleet: &LocalFleet, started: Instant) -> Vec<SubmissionResult> {
    let base = fleet.vms[0].get_revision().await;
    let text = fleet.write_file();
    let last_vm = fleet.vms.len() - 1;
    let (first, second) = tokio::join!(
        fleet.submit_through(0, &text, Some(base)),
        fleet.submit_through(last_vm, &text, Some(base)),
    );
    [first, second]
        .into_iter()
        .flatten()
        .map(|answer| SubmissionResult {
            submission: answer.submission.to_string(),
            verdict: answer.verdict,
            revision: answer.revision,
            at: started.elapsed(),
        })
        .collect()
}

async fn sample_revisions(fleet: Arc<Mutex<LocalFleet>>, started: Instant) -> Vec<RevisionSample> {
    let mut samples = Vec::new();
    while started.elapsed() < LOAD_DURATION + RECOVERY_DURATION {
        {
            let fleet = fleet.lock().await;
            for vm in &fleet.vms {
                samples.push(RevisionSample {
                    vm: vm.get_name().to_owned(),
                    revision: vm.get_revision().await,
                    at: started.elapsed(),
                });
            }
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    samples
}

async fn run_load(addrs: Arc<Vec<std::net::SocketAddr>>, seed: u64) -> Vec<CallResult> {
    run_calls(make_plan(seed), addrs).await
}

fn make_plan(seed: u64) -> Vec<CallPlan> {
    let mut rng = Pcg32::seed_from_u64(seed ^ 0x5EED);
    let mut plan = Vec::new();
    let seconds = LOAD_DURATION.as_secs_f64();
    for index in 0..LOOKUPS_PER_SECOND * LOAD_DURATION.as_secs() {
        plan.push(CallPlan {
            at: Duration::from_secs_f64(rng.random_range(0.0..seconds)),
            group: "open",
            method: "GET",
            path: format!("/recipient/open?n={index}&s={seed}"),
            key: None,
            body: None,
        });
    }
    for index in 0..CONFIRMS_PER_SECOND * LOAD_DURATION.as_secs() {
        let at = rng.random_range(0.0..seconds);
        plan.push(make_confirmation(seed, index, at));
        if rng.random_bool(REPEAT_SHARE) {
            plan.push(make_confirmation(
                seed,
                index,
                at + rng.random_range(0.0..0.5),
            ));
        }
    }
    plan.sort_by_key(|call| call.at);
    plan
}

fn make_confirmation(seed: u64, index: u64, at: f64) -> CallPlan {
    CallPlan {
        at: Duration::from_secs_f64(at),
        group: "confirm",
        method: "POST",
        path: "/draw/confirm".to_owned(),
        key: Some(format!("key-{seed}-{index}")),
        body: Some(format!("group={index}")),
    }
}

fn draw_fault(rng: &mut Pcg32) -> Fault {
    let service = rng.random_range(0..2);
    let target = rng.random_range(0..6);
    match rng.random_range(0..13) {
        0 => Fault::StoreDown,
        1 => Fault::StoreLosesReplies,
        2 => Fault::StoreSlow,
        3 => Fault::StoreSilent,
        4 => Fault::TargetKilled { service, target },
        5 => Fault::TargetSlow { service, target },
        6 => Fault::TargetLeaves { target },
        7 => Fault::TargetSilent { service, target },
        8 => Fault::TargetTruncates { target },
        9 => Fault::RequestCrashes,
        10 => Fault::VmKilled,
        11 => Fault::VmReplaced,
        _ => Fault::OperatorsRace,
    }
}
