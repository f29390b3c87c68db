//! Runs a deployment in one process, with a load peak, a drain and the failure of
//! a target.
//!
//! `cargo run --release --example demo` starts the platform's stand-in, the
//! targets of a deployment at their current sizes and 5 daemons, submits a file
//! and sends calls for 30 seconds.

mod calls;
mod steps;

use anyhow::Context;
use gentianridge_testkit::{CallResultTable, Deployment, FleetOptions, LocalFleet, run_calls};
use pico_args::Arguments;
use std::time::Duration;

/// Time over which calls are sent, in seconds, unless `--seconds` is given.
const LOAD_SECONDS: u64 = 30;

fn main() -> anyhow::Result<()> {
    let mut args = Arguments::from_env();
    let keep = args.contains("--keep");
    let name: Option<String> = args.opt_value_from_str("--deployment")?;
    let seconds: Option<u64> = args.opt_value_from_str("--seconds")?;
    let rest = args.finish();
    anyhow::ensure!(rest.is_empty(), "unknown argument {rest:?}");
    let name = name.unwrap_or_else(|| "sorteggio-nero".to_owned());
    let deployment = Deployment::from_name(&name)
        .with_context(|| format!("{name}: expected sorteggio-nero or rena-karl"))?;
    let load = Duration::from_secs(seconds.unwrap_or(LOAD_SECONDS));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(run(deployment, load, keep))
}

async fn run(deployment: Deployment, load: Duration, keep: bool) -> anyhow::Result<()> {
    println!(
        "starting {} with 5 VMs on loopback sockets",
        deployment.get_name()
    );
    let fleet = LocalFleet::start(FleetOptions::new(deployment)).await?;
    let answer = fleet.submit(&fleet.write_file(), None).await?;
    let took = fleet.wait_revision(answer.revision).await?;
    println!(
        "revision {} accepted and in force on {} VMs after {} ms",
        answer.revision,
        fleet.vms.len(),
        took.as_millis()
    );
    let plan = calls::make_plan(&fleet.get_services(), load);
    println!(
        "sending {} calls in {} s; the load peak is in the middle third",
        plan.len(),
        load.as_secs()
    );
    let running = tokio::spawn(run_calls(plan, fleet.get_callers()));
    steps::run_steps(&fleet, load).await?;
    let results = running.await?;
    let table = CallResultTable::new(&results);
    println!("\n{table}");
    steps::print_totals(&fleet, load).await?;
    anyhow::ensure!(
        fleet.runs.count_duplicates() == 0,
        "a once-only request ran twice"
    );
    anyhow::ensure!(
        table.count_wrong() == 0,
        "an answer was truncated or belonged to another call"
    );
    if keep {
        steps::print_addresses(&fleet);
        tokio::signal::ctrl_c().await?;
    }
    Ok(())
}
