//! A local fleet: platform, targets and VMs of a deployment.

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
const OPERATOR_TOKEN: &str = "local-operators";
/// Bound on the time until a revision is in force on every VM.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Options of a local fleet.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Deployment that the fleet stands in for.
    pub deployment: Deployment,
    /// Number of VMs.
    pub vms: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Time at a stop from reporting as not ready to refusing connections.
    pub stop_notice: Duration,
    /// Longest time for requests in flight at a stop.
    pub stop_grace: Duration,
    /// Timeout of a store operation.
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
            stop_grace: Duration::from_secs(60),
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
    /// Starts of requests on the targets.
    pub runs: Arc<RunLog>,
    /// Running VMs.
    pub vms: Vec<LocalVm>,
    options: FleetOptions,
    ip: IpAddr,
    started_vm_count: AtomicU64,
    submission_count: AtomicU64,
}

/// Starting the fleet.
impl LocalFleet {
    /// Starts platform, targets and VMs without a file in force.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be bound.
    pub async fn start(options: FleetOptions) -> anyhow::Result<Self> {
        let runs = Arc::new(RunLog::new());
        let ip = allocate_loopback_ip();
        let targets = start_targets(&options, ip, &runs)?;
        let mut fleet = Self {
            platform: PlatformStandIn::start_on(ip, options.seed).await?,
            ip,
            targets,
            runs,
            vms: Vec::new(),
            started_vm_count: AtomicU64::new(0),
            submission_count: AtomicU64::new(0),
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
    /// Fails if a VM does not answer or the file is not in force in time.
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
        let number = self.started_vm_count.fetch_add(1, Ordering::Relaxed) + 1;
        let domains = self.options.deployment.get_domains();
        let domain = domains[number as usize % domains.len()];
        let any_port = SocketAddr::new(self.ip, 0);
        let mut settings = Settings::new(&format!("vm{number}"), any_port, any_port, any_port)
            .location(self.options.deployment.get_name(), domain)
            .platform(self.platform.get_addr())
            .operator_token(OPERATOR_TOKEN)
            .stop(self.options.stop_notice, self.options.stop_grace);
        settings.store_timeout = self.options.store_timeout;
        self.vms.push(LocalVm::start(settings).await?);
        self.update_members();
        Ok(())
    }

    /// Sets the membership list of the platform to the running VMs.
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

/// Using the fleet.
impl LocalFleet {
    /// Returns the operators' token.
    pub fn get_token(&self) -> &'static str {
        OPERATOR_TOKEN
    }

    /// Returns the addresses for callers.
    pub fn get_callers(&self) -> Arc<Vec<SocketAddr>> {
        Arc::new(self.vms.iter().map(LocalVm::get_callers).collect())
    }

    /// Returns the services of the deployment.
    pub fn get_services(&self) -> Vec<DeploymentService> {
        self.options.deployment.get_services()
    }

    /// Returns the operators' file with the addresses of the targets.
    pub fn write_file(&self) -> String {
        let addrs: Vec<Vec<SocketAddr>> = self
            .targets
            .iter()
            .map(|targets| targets.iter().map(TargetStandIn::get_addr).collect())
            .collect();
        self.options.deployment.write_file(&addrs)
    }

    /// Returns a client for the operators' paths of a VM.
    ///
    /// # Errors
    ///
    /// Fails if the client cannot be built.
    pub fn client(&self, vm: usize) -> anyhow::Result<OperatorClient> {
        OperatorClient::new(self.vms[vm].get_operators(), OPERATOR_TOKEN)
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
        let number = self.submission_count.fetch_add(1, Ordering::Relaxed);
        let request = SubmitRequest {
            submission: format_smolstr!("local-{number}"),
            author: "demo".into(),
            base,
            force: true,
            text: text.to_owned(),
        };
        self.client(vm)?.submit(&request).await
    }

    /// Waits until a revision is in force on every VM and returns the time taken.
    ///
    /// # Errors
    ///
    /// Fails if the revision is not in force within 10 s.
    pub async fn wait_revision(&self, revision: u64) -> anyhow::Result<Duration> {
        let started = Instant::now();
        for vm in &self.vms {
            while vm.get_revision().await < revision {
                anyhow::ensure!(
                    started.elapsed() < IN_FORCE_TIMEOUT,
                    "revision {revision} is not in force on {}",
                    vm.get_name()
                );
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(started.elapsed())
    }
}

/// Returns a loopback address that other fleets on the machine rarely use, derived from
/// the process id and a counter.
///
/// The ports of VMs and targets that have stopped are reused. With a shared address,
/// a caller that still uses such a port could reach another fleet.
fn allocate_loopback_ip() -> IpAddr {
    static NEXT_NUMBER: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed) % 250 + 1;
    IpAddr::from([127, high.max(1), low, number])
}

fn start_targets(
    options: &FleetOptions,
    ip: IpAddr,
    runs: &Arc<RunLog>,
) -> anyhow::Result<Vec<Vec<TargetStandIn>>> {
    let mut services = Vec::new();
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
        services.push(targets);
    }
    Ok(services)
}
