//! Runs stand-ins at the target addresses of an operators' file and sends calls
//! to a daemon.
//!
//! `cargo run --release --example drive -- samples/sorteggio-nero.ini
//! [--to 127.0.0.1:8080] [--per-second 500] [--seconds 20]` is used together
//! with `gentianridged --standalone samples/sorteggio-nero.ini`.

use anyhow::Context;
use gentianridge_core::{ClassKind, FleetSpec, ServiceSpec};
use gentianridge_testkit::{
    CallPlan, CallResultTable, RunLog, ServiceTime, TargetOptions, TargetStandIn, run_calls,
};
use pico_args::Arguments;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const DEFAULT_PER_SECOND: u64 = 500;
const DEFAULT_SECONDS: u64 = 20;
/// Mean service time of the stand-ins.
const SERVICE_TIME: Duration = Duration::from_millis(8);

fn main() -> anyhow::Result<()> {
    let mut args = Arguments::from_env();
    let to: Option<SocketAddr> = args.opt_value_from_str("--to")?;
    let per_second: u64 = args
        .opt_value_from_str("--per-second")?
        .unwrap_or(DEFAULT_PER_SECOND);
    let seconds: u64 = args
        .opt_value_from_str("--seconds")?
        .unwrap_or(DEFAULT_SECONDS);
    let path: String = args
        .free_from_str()
        .context("the operators' file is missing")?;
    let rest = args.finish();
    anyhow::ensure!(rest.is_empty(), "unknown argument {rest:?}");
    let fleet = gentianridge_config::parse_fleet(&std::fs::read_to_string(&path)?)?;
    let to = to.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 8080)));
    anyhow::ensure!(to.ip().is_loopback(), "calls go to loopback addresses only");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run(&fleet, to, per_second, seconds))
}

async fn run(
    fleet: &FleetSpec,
    to: SocketAddr,
    per_second: u64,
    seconds: u64,
) -> anyhow::Result<()> {
    let runs = Arc::new(RunLog::new());
    let targets = start_targets(fleet, &runs)?;
    println!(
        "{} stand-ins, {per_second} calls/s to {to} for {seconds} s",
        targets.len()
    );
    let plan = make_plan(fleet, per_second, seconds);
    let results = run_calls(plan, Arc::new(vec![to])).await;
    println!("{}", CallResultTable::new(&results));
    println!("doubled once-only requests: {}", runs.count_duplicates());
    Ok(())
}

fn start_targets(fleet: &FleetSpec, runs: &Arc<RunLog>) -> anyhow::Result<Vec<TargetStandIn>> {
    let mut started = Vec::new();
    for target in fleet.services.iter().flat_map(|service| &service.targets) {
        let options = TargetOptions::new(
            &target.name,
            target.get_slots(),
            ServiceTime::Exponential(SERVICE_TIME),
        )
        .seed(started.len() as u64);
        let stand_in = TargetStandIn::start_at(options, runs.clone(), target.addr)
            .with_context(|| format!("cannot start a stand-in at {}", target.addr))?;
        started.push(stand_in);
    }
    Ok(started)
}

/// Spreads the calls over the services.
///
/// Of each hundred calls, the first three are background work, if the service has
/// a class for it.
fn make_plan(fleet: &FleetSpec, per_second: u64, seconds: u64) -> Vec<CallPlan> {
    (0..per_second * seconds)
        .map(|index| {
            let service = &fleet.services[index as usize % fleet.services.len()];
            make_call(service, index, per_second)
        })
        .collect()
}

fn make_call(service: &ServiceSpec, index: u64, per_second: u64) -> CallPlan {
    let is_background = index % 100 < 3;
    let class = service
        .classes
        .iter()
        .find(|class| (class.kind == ClassKind::Background) == is_background)
        .unwrap_or(&service.classes[0]);
    let is_once = class.kind == ClassKind::Once;
    let (group, method) = match class.kind {
        ClassKind::Interactive => ("interactive", "GET"),
        ClassKind::Once => ("once", "POST"),
        ClassKind::Background => ("background", "GET"),
    };
    CallPlan {
        at: Duration::from_micros(index * 1_000_000 / per_second),
        group,
        method,
        path: format!("{}?n={index}", class.route.prefix),
        key: is_once.then(|| format!("drive-{index}")),
        body: is_once.then(|| index.to_string()),
    }
}
