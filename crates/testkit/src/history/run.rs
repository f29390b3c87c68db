//! One run of many tasks with faults drawn from a seed.

use super::{History, Leave, RevisionSample, SubmissionResult};
use crate::{CallPlan, CallResult, Deployment, FleetOptions, LocalFleet, run_calls};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// Length of the load.
const LOAD: Duration = Duration::from_millis(3_000);
/// Time after the load in which everything settles.
const SETTLE: Duration = Duration::from_millis(5_500);
/// Time between two looks at the revisions.
const SAMPLE: Duration = Duration::from_millis(100);
const FAULTS: usize = 6;
const VMS: usize = 3;
const LOOKUPS_PER_SECOND: u64 = 120;
const CONFIRMS_PER_SECOND: u64 = 30;
/// Repeats of a share of the confirmations with the same key.
const REPEAT_SHARE: f64 = 0.3;

/// One fault.
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

/// Runs a small fleet under load with the faults of a seed.
///
/// # Errors
///
/// Fails if the fleet cannot be started.
pub async fn run_history(seed: u64) -> anyhow::Result<History> {
    let options = FleetOptions::new(Deployment::SorteggioNero)
        .vms(VMS)
        .seed(seed);
    let fleet = LocalFleet::start_ready(options).await?;
    let mut rng = Pcg32::seed_from_u64(seed);
    let started = Instant::now();
    let load = tokio::spawn(run_load(fleet.get_callers(), seed));
    let fleet = Arc::new(Mutex::new(fleet));
    let sampler = tokio::spawn(sample_revisions(fleet.clone(), started));
    let mut run = Run {
        history: History::default(),
        started,
        left: Vec::new(),
    };
    for _ in 0..FAULTS {
        let pause = LOAD.mul_f64(rng.random_range(0.5..1.5) / FAULTS as f64);
        tokio::time::sleep(pause).await;
        let fault = draw_fault(&mut rng);
        run.history
            .faults
            .push(format!("{:?} at {:?}", fault, started.elapsed()));
        run.inject(&fleet, fault, &mut rng).await?;
    }
    run.history.calls = load.await?;
    heal(&*fleet.lock().await);
    tokio::time::sleep(SETTLE).await;
    run.history.length = started.elapsed();
    run.history.revisions = sampler.await?;
    let fleet = fleet.lock().await;
    run.finish(&fleet);
    Ok(run.history)
}

struct Run {
    history: History,
    started: Instant,
    /// Targets of the first service that announced their leave, and when.
    left: Vec<(usize, Duration)>,
}

impl Run {
    async fn inject(
        &mut self,
        fleet: &Arc<Mutex<LocalFleet>>,
        fault: Fault,
        rng: &mut Pcg32,
    ) -> anyhow::Result<()> {
        let mut held = fleet.lock().await;
        let store = held.platform.get_faults();
        match fault {
            Fault::StoreDown => store.set_down(true),
            Fault::StoreLosesReplies => store.lose_answers(0.2),
            Fault::StoreSlow => store.set_latency(Duration::from_millis(120)),
            Fault::StoreSilent => store.set_silent(true),
            Fault::TargetKilled { service, target } => held.targets[service][target].kill(),
            Fault::TargetSlow { service, target } => {
                held.targets[service][target]
                    .get_faults()
                    .set_slow_factor(10);
            }
            Fault::TargetLeaves { target } => {
                held.targets[0][target].get_faults().set_leaving(true);
                self.left.push((target, self.started.elapsed()));
            }
            Fault::TargetSilent { service, target } => {
                held.targets[service][target].silence_connections();
            }
            Fault::TargetTruncates { target } => {
                held.targets[0][target]
                    .get_faults()
                    .set_truncate_answers(true);
            }
            Fault::RequestCrashes => {
                for target in &held.targets[0] {
                    target.get_faults().crash_on(Some("n=13&"));
                }
            }
            Fault::VmKilled => {
                if held.vms.len() > 1 {
                    held.vms.remove(0).kill();
                }
            }
            Fault::VmReplaced => {
                held.add_vm().await?;
                let old = held.vms.remove(0);
                tokio::spawn(old.stop());
            }
            Fault::OperatorsRace => {
                let submitted = race(&held, self.started).await;
                self.history.submissions.extend(submitted);
            }
        }
        drop(held);
        if rng.random_bool(0.5) && !matches!(fault, Fault::TargetLeaves { .. }) {
            tokio::time::sleep(Duration::from_millis(200)).await;
            heal(&*fleet.lock().await);
        }
        Ok(())
    }

    fn finish(&mut self, fleet: &LocalFleet) {
        self.history.survivors = fleet
            .vms
            .iter()
            .map(|vm| vm.get_name().to_owned())
            .collect();
        self.history.runs = fleet.runs.list();
        for (target, announced) in &self.left {
            let stand_in = &fleet.targets[0][*target];
            let last = stand_in.get_last_request();
            self.history.leaves.push(Leave {
                target: stand_in.get_name().to_owned(),
                announced: *announced,
                last_request: last.map_or(Duration::ZERO, |at| {
                    at.saturating_duration_since(self.started)
                }),
            });
        }
    }
}

/// Ends the faults that can end.
fn heal(fleet: &LocalFleet) {
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

/// Two operators submit through different VMs without knowing of each other.
async fn race(fleet: &LocalFleet, started: Instant) -> Vec<SubmissionResult> {
    let base = fleet.vms[0].get_revision().await;
    let text = fleet.write_file();
    let last = fleet.vms.len() - 1;
    let (first, second) = tokio::join!(
        fleet.submit_through(0, &text, Some(base)),
        fleet.submit_through(last, &text, Some(base)),
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
    let mut seen = Vec::new();
    while started.elapsed() < LOAD + SETTLE {
        {
            let fleet = fleet.lock().await;
            for vm in &fleet.vms {
                seen.push(RevisionSample {
                    vm: vm.get_name().to_owned(),
                    revision: vm.get_revision().await,
                    at: started.elapsed(),
                });
            }
        }
        tokio::time::sleep(SAMPLE).await;
    }
    seen
}

async fn run_load(addrs: Arc<Vec<std::net::SocketAddr>>, seed: u64) -> Vec<CallResult> {
    run_calls(make_plan(seed), addrs).await
}

fn make_plan(seed: u64) -> Vec<CallPlan> {
    let mut rng = Pcg32::seed_from_u64(seed ^ 0x5EED);
    let mut plan = Vec::new();
    let seconds = LOAD.as_secs_f64();
    for index in 0..LOOKUPS_PER_SECOND * LOAD.as_secs() {
        plan.push(CallPlan {
            at: Duration::from_secs_f64(rng.random_range(0.0..seconds)),
            group: "open",
            method: "GET",
            path: format!("/recipient/open?n={index}&s={seed}"),
            key: None,
            body: None,
        });
    }
    for index in 0..CONFIRMS_PER_SECOND * LOAD.as_secs() {
        let at = rng.random_range(0.0..seconds);
        plan.push(confirm(seed, index, at));
        if rng.random_bool(REPEAT_SHARE) {
            plan.push(confirm(seed, index, at + rng.random_range(0.0..0.5)));
        }
    }
    plan.sort_by_key(|call| call.at);
    plan
}

fn confirm(seed: u64, index: u64, at: f64) -> CallPlan {
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
