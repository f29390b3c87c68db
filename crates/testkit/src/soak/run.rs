//! One run.

use super::check::{Breach, check};
use super::load::{Fleet, check_readiness, exchange, run_balancer, run_caller, run_version_checks};
use super::plan::{Step, TARGETS, VMS, draw_plan};
use super::process::VmProcess;
use super::proxy::{FaultyLink, LinkFault};
use super::record::{DisruptionKind, Record, RequestOutcome};
use crate::{
    CART, CallerConnection, FakeStore, FakeTarget, StoreFault, TargetBehavior, TargetEntryValue,
    write_config, write_path,
};
use parking_lot::Mutex;
use rustix::process::Signal;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

const CALLERS: usize = 12;
/// Work of a target on one request.
const WORK: Duration = Duration::from_millis(40);
/// Time within which the fleet has to be ready at first.
const START: Duration = Duration::from_secs(20);
/// Pause after which a daemon that ended is started again.
const RESTART: Duration = Duration::from_millis(200);
/// Time between two looks at the processes.
const SUPERVISE: Duration = Duration::from_millis(20);
/// Time after the last step in which load goes on.
const TAIL: Duration = Duration::from_secs(2);
/// Time in which everything is back after the end of all faults.
const RECOVER: Duration = Duration::from_secs(8);
/// Time after which a target that announced its leave has gone.
const GONE: Duration = Duration::from_millis(3_500);
const RECOVERY_REQUESTS: usize = 10;

/// What a run needs.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// The daemon's program.
    pub binary: PathBuf,
    /// Folder for settings and lines of the daemons.
    pub dir: PathBuf,
    /// What happens.
    pub seed: u64,
    /// Number of the run among those at the same time, below 250; it chooses
    /// the addresses.
    pub slot: u8,
}

/// What came of a run.
#[derive(Debug)]
pub struct SoakReport {
    /// Requests of callers.
    pub requests: usize,
    /// Requests that were answered with success.
    pub answered: usize,
    /// Steps, each with its time.
    pub steps: Vec<String>,
    /// Promises that were broken.
    pub breaches: Vec<Breach>,
}

/// Runs a fleet of daemons with the faults of a seed.
///
/// # Errors
///
/// Fails if the fleet cannot be started.
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
    tokio::time::sleep(TAIL).await;
    run.fleet.is_over.store(true, Ordering::Relaxed);
    while load.join_next().await.is_some() {}
    run.recover().await;
    run.kill_daemons().await;
    let breaches = check(&run.record, &run.targets);
    let sent = run.record.sent.lock();
    let is_answered =
        |end: &RequestOutcome| matches!(end, RequestOutcome::Reply(reply) if reply.status == 200);
    Ok(SoakReport {
        requests: sent.len(),
        answered: sent.iter().filter(|sent| is_answered(&sent.end)).count(),
        steps: run
            .record
            .steps
            .lock()
            .iter()
            .map(|(at, step)| format!("{at:.1?} {step:?}"))
            .collect(),
        breaches,
    })
}

struct Run {
    store: FakeStore,
    store_links: Vec<FaultyLink>,
    targets: Vec<FakeTarget>,
    target_links: Vec<FaultyLink>,
    vms: Vec<Arc<Mutex<VmProcess>>>,
    fleet: Arc<Fleet>,
    record: Arc<Record>,
    stop_supervisor: Arc<AtomicBool>,
    config: Mutex<(u64, String)>,
}

/// Start and end.
impl Run {
    async fn start(options: &SoakOptions) -> anyhow::Result<Self> {
        let store = FakeStore::start().await?;
        let (mut targets, mut target_links) = (Vec::new(), Vec::new());
        for index in 0..TARGETS {
            let target = FakeTarget::start(&format!("t{index}")).await?;
            target.set_work_time(WORK);
            target_links.push(FaultyLink::start(target.get_addr()).await?);
            targets.push(target);
        }
        let (mut store_links, mut vms) = (Vec::new(), Vec::new());
        for index in 0..VMS {
            let link = FaultyLink::start(store.get_addr()).await?;
            let ip = Ipv4Addr::new(127, choose_second_octet(), options.slot, index as u8 + 1);
            let (binary, dir) = (&options.binary, &options.dir);
            vms.push(VmProcess::new(binary, dir, ip, index, link.get_addr()));
            store_links.push(link);
        }
        let run = Self {
            fleet: Arc::new(Fleet {
                callers: vms.iter().map(VmProcess::get_callers).collect(),
                ready: vms.iter().map(VmProcess::get_ready).collect(),
                starts: (0..VMS).map(|_| AtomicU32::new(1)).collect(),
                in_rotation: Mutex::new(vec![true; VMS]),
                is_over: AtomicBool::new(false),
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
        let end = Instant::now() + START;
        for vm in 0..VMS {
            while check_readiness(self.fleet.ready[vm]).await != Some(200) {
                anyhow::ensure!(Instant::now() < end, "vm-{vm} is not ready");
                tokio::time::sleep(SUPERVISE).await;
            }
        }
        Ok(())
    }

    async fn kill_daemons(&self) {
        self.stop_supervisor.store(true, Ordering::Relaxed);
        for vm in &self.vms {
            let child = vm.lock().take();
            if let Some(child) = child {
                VmProcess::end(child).await;
            }
        }
    }

    /// Ends all faults and asks every VM again.
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
        tokio::time::sleep(RECOVER).await;
        let mut good = 0;
        for vm in 0..VMS {
            for index in 0..RECOVERY_REQUESTS {
                let id = format!("{}recovered-{vm}-{index}", super::CHECK_ID_PREFIX);
                let open = CallerConnection::open(self.fleet.callers[vm]).await;
                let Ok(mut connection) = open else {
                    continue;
                };
                let end = exchange(&mut connection, &id, false).await;
                good +=
                    usize::from(matches!(end, RequestOutcome::Reply(reply) if reply.status == 200));
            }
        }
        *self.record.recovered.lock() = (good, VMS * RECOVERY_REQUESTS);
    }
}

/// Steps.
impl Run {
    async fn apply_step(self: Arc<Self>, step: Step) -> anyhow::Result<()> {
        match step {
            Step::Kill { vm } => self.signal(vm, Signal::KILL, DisruptionKind::Process),
            Step::Stop { vm } => self.signal(vm, Signal::TERM, DisruptionKind::Stopping),
            Step::Pause { vm, time } => {
                let disruption = self.record.begin(Some(vm), DisruptionKind::Process);
                self.vms[vm].lock().signal(Signal::STOP);
                tokio::time::sleep(time).await;
                self.vms[vm].lock().signal(Signal::CONT);
                self.record.end(disruption);
            }
            Step::Reload { vm, probes } => {
                let vm = self.vms[vm].lock();
                vm.write_settings(probes)?;
                vm.signal(Signal::HUP);
            }
            Step::StoreLink { vm, fault, time } => {
                let disruption = self.record.begin(Some(vm), DisruptionKind::Store);
                self.store_links[vm].set_fault(fault);
                tokio::time::sleep(time).await;
                self.store_links[vm].set_fault(LinkFault::None);
                self.record.end(disruption);
            }
            Step::StoreConnectionsSilenced { vm } => {
                let disruption = self.record.begin(Some(vm), DisruptionKind::Store);
                self.store_links[vm].silence_connections();
                self.record.end(disruption);
            }
            Step::Store { fault, time } => {
                let disruption = self.record.begin(None, DisruptionKind::Store);
                self.store.set_fault(fault);
                tokio::time::sleep(time).await;
                self.store.set_fault(StoreFault::None);
                self.record.end(disruption);
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
            Step::TargetConnectionsSilenced { target } => {
                self.target_links[target].silence_connections()
            }
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
                tokio::time::sleep(GONE).await;
                self.store.remove("servers", self.targets[target].get_id());
            }
            Step::Configure => self.add_route(),
        }
        Ok(())
    }

    fn signal(&self, vm: usize, signal: Signal, kind: DisruptionKind) {
        self.record.begin(Some(vm), kind);
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

    /// Adds a path that only this version and later ones have.
    fn add_route(&self) {
        let mut config = self.config.lock();
        let (version, paths) = &mut *config;
        *version += 3;
        let path = write_path(
            &format!("v{version}"),
            &format!("/v{version}/"),
            "idempotent",
        );
        paths.push(',');
        paths.push_str(&path);
        let text = write_config(*version, paths);
        self.store.put("op", "config", text.as_bytes());
        self.record.versions.lock().push((*version, Instant::now()));
    }
}

/// Chooses addresses that runs of another process do not have.
fn choose_second_octet() -> u8 {
    64 + (std::process::id() % 128) as u8
}

/// Starts a daemon again whenever it has ended.
async fn supervise(
    index: usize,
    vm: Arc<Mutex<VmProcess>>,
    fleet: Arc<Fleet>,
    record: Arc<Record>,
    is_over: Arc<AtomicBool>,
) {
    let mut start = Instant::now();
    while !is_over.load(Ordering::Relaxed) {
        tokio::time::sleep(SUPERVISE).await;
        if !vm.lock().has_exited() {
            continue;
        }
        let asked = [DisruptionKind::Process, DisruptionKind::Stopping];
        if !record.had_disruption(index, &asked, start, Instant::now()) {
            record.unexpected_exits.lock().push(index);
        }
        tokio::time::sleep(RESTART).await;
        fleet.starts[index].fetch_add(1, Ordering::Relaxed);
        start = Instant::now();
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        if let Err(error) = vm.lock().start() {
            eprintln!("vm-{index} is not started again: {error:#}");
            return;
        }
        record.end_process_disruptions(index);
    }
}
