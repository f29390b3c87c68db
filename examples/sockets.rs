//! Runs scenarios of `measure` with real daemons over loopback sockets.
//!
//! `cargo run --release --example sockets -- [--scenario steady|crest|long-behind|once|all]
//! [--deployment sorteggio-nero|rena-karl] [--seconds 10]`

use anyhow::{Context, bail};
use gentianridge_core::ClassKind;
use gentianridge_testkit::{
    CallPlan, CallResultTable, Deployment, DeploymentClass, DeploymentService, FleetOptions,
    LocalFleet, run_calls,
};
use pico_args::Arguments;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

const SEED: u64 = 3;
const DEFAULT_SECONDS: u64 = 10;
/// Time per request that the stand-ins' timers and the callers' own work add to
/// the use of a slot.
const OVERHEAD: Duration = Duration::from_millis(2);
const ONCE_RATES: [f64; 4] = [100.0, 150.0, 200.0, 300.0];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scenario {
    Steady,
    Crest,
    LongBehind,
    Once,
}

const SCENARIOS: [(&str, Scenario); 4] = [
    ("steady", Scenario::Steady),
    ("crest", Scenario::Crest),
    ("long-behind", Scenario::LongBehind),
    ("once", Scenario::Once),
];

fn main() -> anyhow::Result<()> {
    let mut args = Arguments::from_env();
    let name: Option<String> = args.opt_value_from_str("--scenario")?;
    let deployment: Option<String> = args.opt_value_from_str("--deployment")?;
    let seconds: u64 = args
        .opt_value_from_str("--seconds")?
        .unwrap_or(DEFAULT_SECONDS);
    let rest = args.finish();
    anyhow::ensure!(rest.is_empty(), "unknown argument {rest:?}");
    let name = name.unwrap_or_else(|| "all".to_owned());
    let chosen: Vec<Scenario> = SCENARIOS
        .iter()
        .filter(|(known, _)| name == "all" || name == *known)
        .map(|(_, scenario)| *scenario)
        .collect();
    if chosen.is_empty() {
        bail!("{name}: expected steady, crest, long-behind, once or all");
    }
    let deployment = deployment.as_deref().unwrap_or("sorteggio-nero");
    let deployment =
        Deployment::from_name(deployment).context("expected sorteggio-nero or rena-karl")?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    for scenario in chosen {
        runtime.block_on(run(deployment, scenario, Duration::from_secs(seconds)))?;
    }
    Ok(())
}

async fn run(deployment: Deployment, scenario: Scenario, length: Duration) -> anyhow::Result<()> {
    let fleet = LocalFleet::start_ready(FleetOptions::new(deployment)).await?;
    let services = fleet.get_services();
    match scenario {
        Scenario::Steady => {
            let share = |_| 0.8;
            run_plan(
                &fleet,
                "steady, 80% of the slots",
                make_short_plan(&services[0], length, share),
            )
            .await;
        }
        Scenario::Crest => {
            let share = |progress: f64| {
                if (0.3..0.7).contains(&progress) {
                    1.5
                } else {
                    0.3
                }
            };
            run_plan(
                &fleet,
                "crest, 30% to 150% and back",
                make_short_plan(&services[0], length, share),
            )
            .await;
        }
        Scenario::LongBehind => {
            let share = |_| 0.25;
            run_plan(
                &fleet,
                "lookups alone, 25%",
                make_short_plan(&services[0], length, share),
            )
            .await;
            let mut plan = make_short_plan(&services[0], length, share);
            add_long_calls(&mut plan, &services[0], length);
            run_plan(&fleet, "lookups behind saturating pulls", plan).await;
        }
        Scenario::Once => {
            for rate in ONCE_RATES {
                let writes = fleet.platform.count_writes();
                let before = fleet.runs.len();
                let plan = make_once_plan(&services[1], length, rate);
                run_plan(&fleet, &format!("{rate} confirmations/s"), plan).await;
                tokio::time::sleep(Duration::from_secs(1)).await;
                let writes = fleet.platform.count_writes() - writes;
                let runs = fleet.runs.len() - before;
                println!(
                    "  {runs} runs, {writes} writes, {:.2} a run; doubled {}",
                    writes as f64 / runs.max(1) as f64,
                    fleet.runs.count_duplicates()
                );
            }
        }
    }
    Ok(())
}

async fn run_plan(fleet: &LocalFleet, title: &str, plan: Vec<CallPlan>) {
    let results = run_calls(plan, fleet.get_callers()).await;
    println!("{title}\n{}", CallResultTable::new(&results));
}

/// Returns the requests per second that a service can handle, with [`OVERHEAD`]
/// added to the service time.
fn get_effective_capacity(service: &DeploymentService) -> f64 {
    let slots = f64::from(service.slots) * service.targets as f64;
    slots / (service.time.get_mean() + OVERHEAD).as_secs_f64()
}

fn find_class(service: &DeploymentService, is_background: bool) -> DeploymentClass {
    let found = service
        .classes
        .iter()
        .find(|class| (class.kind == ClassKind::Background) == is_background);
    *found.unwrap_or(&service.classes[0])
}

fn make_short_plan(
    service: &DeploymentService,
    length: Duration,
    share: impl Fn(f64) -> f64,
) -> Vec<CallPlan> {
    let class = find_class(service, false);
    let capacity = get_effective_capacity(service);
    draw_calls(&class, length, |progress| capacity * share(progress))
}

fn add_long_calls(plan: &mut Vec<CallPlan>, service: &DeploymentService, length: Duration) {
    let class = find_class(service, true);
    let slots = f64::from(service.slots) * service.targets as f64;
    let rate = slots / service.long_time.as_secs_f64();
    plan.extend(draw_calls(&class, length, |_| rate));
    plan.sort_by_key(|call| call.at);
}

fn make_once_plan(service: &DeploymentService, length: Duration, rate: f64) -> Vec<CallPlan> {
    let class = find_class(service, false);
    let mut plan = draw_calls(&class, length, |_| rate);
    for (index, call) in plan.iter_mut().enumerate() {
        call.key = Some(format!("{rate}-{index}"));
    }
    plan
}

fn draw_calls(
    class: &DeploymentClass,
    length: Duration,
    rate: impl Fn(f64) -> f64,
) -> Vec<CallPlan> {
    let mut rng = Pcg32::seed_from_u64(SEED);
    let mut plan = Vec::new();
    let mut at = 0.0;
    while at < length.as_secs_f64() {
        let unit: f64 = rng.random_range(f64::EPSILON..1.0);
        at += -unit.ln() / rate(at / length.as_secs_f64());
        plan.push(CallPlan {
            at: Duration::from_secs_f64(at),
            group: class.name,
            method: class.method,
            path: format!("{}?n={}", class.path, plan.len()),
            key: None,
            body: None,
        });
    }
    plan
}
