//! The platform, the targets of a deployment and the VMs.

use super::LocalVm;
use crate::{Deployment, DeploymentService, PlatformStandIn, RunLog, TargetOptions, TargetStandIn};
use gentianridge_api::{SubmitAnswer, SubmitRequest};
use gentianridge_cli::OperatorClient;
use gentianridge_config::Settings;
use gentianridge_platform::Member;
use smol_str::format_smolstr;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Operators' token of local fleets.
const TOKEN: &str = "local-operators";
/// Longest time until a fleet is ready.
const READY_TIME: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(10);

/// What a local fleet is like.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Deployment whose services are stood in for.
    pub deployment: Deployment,
    /// Number of VMs.
    pub vms: usize,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Time between not being ready and refusing connections at a stop.
    pub stop_notice: Duration,
    /// Longest time of an operation of the store.
    pub store_timeout: Duration,
}

impl FleetOptions {
    /// Creates the options of a deployment with its 5 VMs.
    pub fn new(deployment: Deployment) -> Self {
        Self {
            deployment,
            vms: 5,
            seed: 1,
            stop_notice: Duration::from_millis(300),
            store_timeout: Duration::from_millis(500),
        }
    }

    /// Sets the number of VMs.
    pub fn vms(mut self, vms: usize) -> Self {
        self.vms = vms;
        self
    }

    /// Sets the seed.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// A fleet on loopback sockets.
#[derive(Debug)]
pub struct LocalFleet {
    /// The platform.
    pub platform: PlatformStandIn,
    /// Targets of each service in the order of the deployment.
    pub targets: Vec<Vec<TargetStandIn>>,
    /// What the targets have run.
    pub runs: Arc<RunLog>,
    /// The live VMs.
    pub vms: Vec<LocalVm>,
    options: FleetOptions,
    ip: IpAddr,
    started_vms: AtomicU64,
    submissions: AtomicU64,
}

/// Start.
impl LocalFleet {
    /// Starts platform, targets and VMs; no file is in force yet.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be bound.
    pub async fn start(options: FleetOptions) -> anyhow::Result<Self> {
        let runs = Arc::new(RunLog::new());
        let ip = next_loopback();
        let targets = start_targets(&options, ip, &runs)?;
        let mut fleet = Self {
            platform: PlatformStandIn::start_on(ip, options.seed).await?,
            ip,
            targets,
            runs,
            vms: Vec::new(),
            started_vms: AtomicU64::new(0),
            submissions: AtomicU64::new(0),
            options,
        };
        for _ in 0..fleet.options.vms {
            fleet.add_vm().await?;
        }
        Ok(fleet)
    }

    /// Starts platform, targets and VMs with the deployment's file in force.
    ///
    /// # Errors
    ///
    /// Fails if the file is not accepted or not in force in time.
    pub async fn start_ready(options: FleetOptions) -> anyhow::Result<Self> {
        let fleet = Self::start(options).await?;
        let answer = fleet.submit(&fleet.write_file(), None).await?;
        fleet.wait_revision(answer.revision).await?;
        Ok(fleet)
    }

    /// Starts one more VM.
    ///
    /// # Errors
    ///
    /// Fails if the daemon cannot be started.
    pub async fn add_vm(&mut self) -> anyhow::Result<()> {
        let number = self.started_vms.fetch_add(1, Ordering::Relaxed) + 1;
        let domains = self.options.deployment.get_domains();
        let domain = domains[number as usize % domains.len()];
        let any = SocketAddr::new(self.ip, 0);
        let mut settings = Settings::new(&format!("vm{number}"), any, any, any)
            .place(self.options.deployment.get_name(), domain)
            .platform(self.platform.get_addr())
            .operator_token(TOKEN)
            .stop(self.options.stop_notice, Duration::from_secs(60));
        settings.store_timeout = self.options.store_timeout;
        self.vms.push(LocalVm::start(settings).await?);
        self.update_members();
        Ok(())
    }

    /// Tells the platform's list which VMs are live.
    pub fn update_members(&self) {
        let members = self
            .vms
            .iter()
            .map(|vm| Member {
                vm: vm.get_name().into(),
                addr: vm.get_peers(),
                leaving: false,
            })
            .collect();
        self.platform.set_members(members);
    }
}

/// Use.
impl LocalFleet {
    /// Returns the operators' token.
    pub fn get_token(&self) -> &'static str {
        TOKEN
    }

    /// Returns the addresses for callers.
    pub fn get_callers(&self) -> Arc<Vec<SocketAddr>> {
        Arc::new(self.vms.iter().map(LocalVm::get_callers).collect())
    }

    /// Returns the services of the deployment.
    pub fn get_services(&self) -> Vec<DeploymentService> {
        self.options.deployment.get_services()
    }

    /// Writes the deployment's file with the addresses of the targets.
    pub fn write_file(&self) -> String {
        let addrs: Vec<Vec<SocketAddr>> = self
            .targets
            .iter()
            .map(|targets| targets.iter().map(TargetStandIn::get_addr).collect())
            .collect();
        self.options.deployment.write_file(&addrs)
    }

    /// Returns a client of the operators' paths of a VM.
    ///
    /// # Errors
    ///
    /// Fails if the client cannot be built.
    pub fn client(&self, vm: usize) -> anyhow::Result<OperatorClient> {
        OperatorClient::new(self.vms[vm].get_operators(), TOKEN)
    }

    /// Submits a file through the first VM.
    ///
    /// # Errors
    ///
    /// Fails if the VM does not answer.
    pub async fn submit(&self, text: &str, base: Option<u64>) -> anyhow::Result<SubmitAnswer> {
        self.submit_through(0, text, base).await
    }

    /// Submits a file through a VM.
    ///
    /// # Errors
    ///
    /// Fails if the VM does not answer.
    pub async fn submit_through(
        &self,
        vm: usize,
        text: &str,
        base: Option<u64>,
    ) -> anyhow::Result<SubmitAnswer> {
        let number = self.submissions.fetch_add(1, Ordering::Relaxed);
        let request = SubmitRequest {
            submission: format_smolstr!("local-{number}"),
            author: "demo".into(),
            base,
            force: true,
            text: text.to_owned(),
        };
        self.client(vm)?.submit(&request).await
    }

    /// Waits until a revision is in force on every VM and returns how long it took.
    ///
    /// # Errors
    ///
    /// Fails if that takes too long.
    pub async fn wait_revision(&self, revision: u64) -> anyhow::Result<Duration> {
        let started = Instant::now();
        for vm in &self.vms {
            while vm.get_revision().await < revision {
                anyhow::ensure!(
                    started.elapsed() < READY_TIME,
                    "revision {revision} is not in force on {}",
                    vm.get_name()
                );
                tokio::time::sleep(POLL).await;
            }
        }
        Ok(started.elapsed())
    }
}

/// Returns a loopback address that no other fleet on the machine uses.
///
/// Ports of VMs and targets that have gone are given out again, and a caller
/// that still uses one would otherwise reach another fleet.
fn next_loopback() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed) % 250 + 1;
    IpAddr::from([127, high.max(1), low, number])
}

fn start_targets(
    options: &FleetOptions,
    ip: IpAddr,
    runs: &Arc<RunLog>,
) -> anyhow::Result<Vec<Vec<TargetStandIn>>> {
    let mut all = Vec::new();
    let mut seed = options.seed;
    for service in options.deployment.get_services() {
        let mut targets = Vec::new();
        for index in 0..service.targets {
            seed += 1;
            let name = format!("{}-{}", service.name, index + 1);
            let target = TargetOptions::new(&name, service.slots, service.time)
                .long_time(service.long_time)
                .seed(seed);
            let addr = SocketAddr::new(ip, 0);
            targets.push(TargetStandIn::start_at(target, runs.clone(), addr)?);
        }
        all.push(targets);
    }
    Ok(all)
}
