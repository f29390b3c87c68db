//! Run of a fleet of daemon processes: starts them, applies the steps and checks the promises.

use super::check::{SoakViolation, check};
use super::keys::is_keyed;
use super::load::{Fleet, check_readiness, exchange, run_balancer, run_caller, run_version_checks};
use super::plan::{Step, TARGETS, VMS, draw_plan};
use super::process::VmProcess;
use super::proxy::{FaultyLink, LinkFault};
use super::record::{DisruptionKind, Record, RequestOutcome};
use crate::{CART, FakeStore, FakeTarget, StoreFault, TargetBehavior, TargetEntryValue};
use parking_lot::Mutex;
use rustix::process::Signal;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Number of callers in a run.
const CALLERS: usize = 12;
/// Work time of a request on a target.
const WORK_TIME: Duration = Duration::from_millis(40);
/// Time within which the fleet has to become ready at the start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before a daemon that has exited is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// Time between two checks of a process or of its readiness.
const SUPERVISE_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which load continues after the last step.
const LOAD_TAIL: Duration = Duration::from_secs(2);
/// Time within which the fleet has to recover after the end of all faults.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// Time between a target's announcement that it leaves and the removal of its entry.
const DEREGISTER_DELAY: Duration = Duration::from_millis(3_500);
/// Requests to each VM after the recovery.
const RECOVERY_REQUESTS: usize = 10;

/// Options of a run.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Path of the daemon's executable.
    pub binary: PathBuf,
    /// Folder for the settings and logs of the daemons.
    pub dir: PathBuf,
    /// Seed of the plan and the load.
    pub seed: u64,
    /// Number of the run among concurrent runs, below 250; it determines the
    /// addresses.
    pub slot: u8,
}

/// Result of a run.
#[derive(Debug)]
pub struct SoakReport {
    /// Number of requests of callers.
    pub requests: usize,
    /// Number of requests that were answered with status 200.
    pub answered: usize,
    /// Steps, each with its time since the start.
    pub steps: Vec<String>,
    /// Violations of the promises.
    pub violations: Vec<SoakViolation>,
}

/// Runs a fleet of daemons with the steps that the seed determines.
///
/// # Errors
///
/// Fails if the fleet cannot be started, or if a settings file cannot be written.
pub async fn run_soak(options: SoakOptions) -> anyhow::Result<SoakReport> {
    std::fs::create_dir_all(&options.dir)?;
    let run = Arc::new(Run::start(&options).await?);
    run.wait_ready().await?;
    let mut load = JoinSet::new();
    load.spawn(run_balancer(run.fleet.clone()));
    for index in 0..CALLERS {
        let (fleet, record) = (run.fleet.clone(), run.record.clone());
        load.spawn(run_caller(fleet, record, index, options.seed));
    }
    for vm in 0..VMS {
        load.spawn(run_version_checks(
            run.fleet.clone(),
            run.record.clone(),
            vm,
        ));
    }
    let started = Instant::now();
    let mut steps = JoinSet::new();
    for (at, step) in draw_plan(options.seed) {
        tokio::time::sleep_until((started + at).into()).await;
        run.record.steps.lock().push((started.elapsed(), step));
        steps.spawn(run.clone().apply_step(step));
    }
    while let Some(ended) = steps.join_next().await {
        ended??;
    }
    tokio::time::sleep(LOAD_TAIL).await;
    run.fleet.is_stopped.store(true, Ordering::Relaxed);
    while load.join_next().await.is_some() {}
    run.recover().await;
    run.kill_daemons().await;
    let violations = check(&run.record, &run.targets);
    let requests = run.record.requests.lock();
    let is_answered =
        |outcome: &RequestOutcome| matches!(outcome, RequestOutcome::Reply(r) if r.status == 200);
    Ok(SoakReport {
        requests: requests.len(),
        answered: requests
            .iter()
            .filter(|request| is_answered(&request.outcome))
            .count(),
        steps: run
            .record
            .steps
            .lock()
            .iter()
            .map(|(at, step)| format!("{at:.1?} {step:?}"))
            .collect(),
        violations,
    })
}

pub(super) struct Run {
    pub(super) store: FakeStore,
    store_links: Vec<FaultyLink>,
    targets: Vec<FakeTarget>,
    target_links: Vec<FaultyLink>,
    vms: Vec<Arc<Mutex<VmProcess>>>,
    pub(super) fleet: Arc<Fleet>,
    pub(super) record: Arc<Record>,
    stop_supervisor: Arc<AtomicBool>,
    pub(super) config: Mutex<(u64, String)>,
}

/// Start, recovery and end of a run.
impl Run {
    async fn start(options: &SoakOptions) -> anyhow::Result<Self> {
        let store = FakeStore::start().await?;
        let (mut targets, mut target_links) = (Vec::new(), Vec::new());
        for index in 0..TARGETS {
            let target = FakeTarget::start(&format!("t{index}")).await?;
            target.set_work_time(WORK_TIME);
            target_links.push(FaultyLink::start(target.get_addr()).await?);
            targets.push(target);
        }
        let (mut store_links, mut vms) = (Vec::new(), Vec::new());
        for index in 0..VMS {
            let link = FaultyLink::start(store.get_addr()).await?;
            let ip = Ipv4Addr::new(127, choose_second_octet(), options.slot, index as u8 + 1);
            let (binary, dir) = (&options.binary, &options.dir);
            let keyed = is_keyed(options.seed);
            vms.push(VmProcess::new(
                binary,
                dir,
                ip,
                index,
                link.get_addr(),
                keyed,
            ));
            store_links.push(link);
        }
        let run = Self {
            fleet: Arc::new(Fleet {
                callers: vms.iter().map(VmProcess::get_callers).collect(),
                ready: vms.iter().map(VmProcess::get_ready).collect(),
                starts: (0..VMS).map(|_| AtomicU32::new(1)).collect(),
                is_keyed: is_keyed(options.seed),
                in_rotation: Mutex::new(vec![true; VMS]),
                is_stopped: AtomicBool::new(false),
            }),
            vms: vms.into_iter().map(|vm| Arc::new(Mutex::new(vm))).collect(),
            record: Arc::default(),
            stop_supervisor: Arc::default(),
            config: Mutex::new((1, String::new())),
            store,
            store_links,
            targets,
            target_links,
        };
        for target in 0..TARGETS {
            run.register(target, false);
        }
        run.add_route();
        for (index, vm) in run.vms.iter().enumerate() {
            vm.lock().start()?;
            tokio::spawn(supervise(
                index,
                vm.clone(),
                run.fleet.clone(),
                run.record.clone(),
                run.stop_supervisor.clone(),
            ));
        }
        Ok(run)
    }

    async fn wait_ready(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for vm in 0..VMS {
            while check_readiness(self.fleet.ready[vm]).await != Some(200) {
                anyhow::ensure!(Instant::now() < deadline, "vm-{vm} is not ready");
                tokio::time::sleep(SUPERVISE_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn kill_daemons(&self) {
        self.stop_supervisor.store(true, Ordering::Relaxed);
        for vm in &self.vms {
            let child = vm.lock().take_child();
            if let Some(child) = child {
                VmProcess::kill(child).await;
            }
        }
    }

    /// Ends all faults, waits for the recovery and sends requests to every VM.
    async fn recover(&self) {
        self.store.set_fault(StoreFault::None);
        for link in self.store_links.iter().chain(&self.target_links) {
            link.set_fault(LinkFault::None);
        }
        for target in &self.targets {
            target.set_behavior(TargetBehavior::Normal);
        }
        for vm in &self.vms {
            vm.lock().signal(Signal::CONT);
        }
        tokio::time::sleep(RECOVERY_TIME).await;
        let mut served = 0;
        for vm in 0..VMS {
            for index in 0..RECOVERY_REQUESTS {
                let id = format!("{}recovered-{vm}-{index}", super::CHECK_ID_PREFIX);
                let Ok(mut connection) = self.fleet.open(vm).await else {
                    continue;
                };
                let end = exchange(&mut connection, &id, false).await;
                served +=
                    usize::from(matches!(end, RequestOutcome::Reply(reply) if reply.status == 200));
            }
        }
        *self.record.recovered.lock() = (served, VMS * RECOVERY_REQUESTS);
    }
}

/// Execution of the steps.
impl Run {
    async fn apply_step(self: Arc<Self>, step: Step) -> anyhow::Result<()> {
        match step {
            Step::Kill { vm } => self.signal(vm, Signal::KILL, DisruptionKind::Process),
            Step::Stop { vm } => self.signal(vm, Signal::TERM, DisruptionKind::Stopping),
            Step::Pause { vm, time } => {
                let disruption = self
                    .record
                    .begin_disruption(Some(vm), DisruptionKind::Process);
                self.vms[vm].lock().signal(Signal::STOP);
                tokio::time::sleep(time).await;
                self.vms[vm].lock().signal(Signal::CONT);
                self.record.end_disruption(disruption);
            }
            Step::Reload { vm, probes } => {
                let vm = self.vms[vm].lock();
                vm.write_settings(probes)?;
                vm.signal(Signal::HUP);
            }
            Step::StoreLink { vm, fault, time } => {
                let disruption = self
                    .record
                    .begin_disruption(Some(vm), DisruptionKind::Store);
                self.store_links[vm].set_fault(fault);
                tokio::time::sleep(time).await;
                self.store_links[vm].set_fault(LinkFault::None);
                self.record.end_disruption(disruption);
            }
            Step::SilenceStoreLink { vm } => {
                let disruption = self
                    .record
                    .begin_disruption(Some(vm), DisruptionKind::Store);
                self.store_links[vm].silence_connections();
                self.record.end_disruption(disruption);
            }
            Step::Store { fault, time } => {
                let disruption = self.record.begin_disruption(None, DisruptionKind::Store);
                self.store.set_fault(fault);
                tokio::time::sleep(time).await;
                self.store.set_fault(StoreFault::None);
                self.record.end_disruption(disruption);
            }
            Step::Compact => self.store.compact(),
            Step::TargetLink {
                target,
                fault,
                time,
            } => {
                self.target_links[target].set_fault(fault);
                tokio::time::sleep(time).await;
                self.target_links[target].set_fault(LinkFault::None);
            }
            Step::SilenceTargetLink { target } => self.target_links[target].silence_connections(),
            Step::Target {
                target,
                behavior,
                time,
            } => {
                self.targets[target].set_behavior(behavior);
                tokio::time::sleep(time).await;
                self.targets[target].set_behavior(TargetBehavior::Normal);
            }
            Step::Drain { target } => {
                self.register(target, true);
                self.record.drains.lock().push((target, Instant::now()));
                tokio::time::sleep(DEREGISTER_DELAY).await;
                self.store.remove("servers", self.targets[target].get_id());
            }
            Step::Configure => self.add_route(),
            Step::Withdraw => self.withdraw_key(),
        }
        Ok(())
    }

    fn signal(&self, vm: usize, signal: Signal, kind: DisruptionKind) {
        self.record.begin_disruption(Some(vm), kind);
        self.vms[vm].lock().signal(signal);
    }

    fn register(&self, target: usize, is_draining: bool) {
        let value = TargetEntryValue {
            service: CART.into(),
            zone: "d1".into(),
            is_draining,
            born: 1,
        };
        let addr = self.target_links[target].get_addr();
        let target = &self.targets[target];
        let entry = target.make_entry_at(addr, &value);
        self.store.put("servers", target.get_id(), &entry);
    }
}

/// Returns the second octet of the daemons' addresses, derived from the process id, so
/// that runs of concurrent processes rarely use the same addresses.
fn choose_second_octet() -> u8 {
    64 + (std::process::id() % 128) as u8
}

/// Restarts a daemon whenever it has exited.
async fn supervise(
    index: usize,
    vm: Arc<Mutex<VmProcess>>,
    fleet: Arc<Fleet>,
    record: Arc<Record>,
    is_stopped: Arc<AtomicBool>,
) {
    let mut started_at = Instant::now();
    while !is_stopped.load(Ordering::Relaxed) {
        tokio::time::sleep(SUPERVISE_INTERVAL).await;
        if !vm.lock().has_exited() {
            continue;
        }
        let expected_causes = [DisruptionKind::Process, DisruptionKind::Stopping];
        if !record.had_disruption(index, &expected_causes, started_at, Instant::now()) {
            record.unexpected_exits.lock().push(index);
        }
        tokio::time::sleep(RESTART_DELAY).await;
        fleet.starts[index].fetch_add(1, Ordering::Relaxed);
        started_at = Instant::now();
        if is_stopped.load(Ordering::Relaxed) {
            return;
        }
        if let Err(error) = vm.lock().start() {
            eprintln!("vm-{index}: restart failed: {error:#}");
            return;
        }
        record.end_process_disruptions(index);
    }
}
