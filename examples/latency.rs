//! Measures the latency that one daemon adds, compared with direct calls to the
//! targets.
//!
//! `cargo run --release --example latency [-- --seconds 10]` sends the same
//! calls to a stand-in directly and through a daemon, in the same run.

use gentianridge_config::Settings;
use gentianridge_testkit::{
    CallPlan, CallResultTable, LocalVm, RunLog, ServiceTime, TargetOptions, TargetStandIn,
    run_calls,
};
use pico_args::Arguments;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const RATES: [u64; 2] = [500, 2_000];
const TARGETS: usize = 4;
const DEFAULT_SECONDS: u64 = 10;
/// Objective for the added latency at the 99th percentile, in milliseconds.
const OBJECTIVE_MS: f64 = 0.51;

fn main() -> anyhow::Result<()> {
    let mut args = Arguments::from_env();
    let seconds: u64 = args
        .opt_value_from_str("--seconds")?
        .unwrap_or(DEFAULT_SECONDS);
    let rest = args.finish();
    anyhow::ensure!(rest.is_empty(), "unknown argument {rest:?}");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(run(seconds))
}

async fn run(seconds: u64) -> anyhow::Result<()> {
    let runs = Arc::new(RunLog::new());
    let targets = (0..TARGETS)
        .map(|index| {
            let options =
                TargetOptions::new(&format!("t{index}"), 64, ServiceTime::Fixed(Duration::ZERO));
            TargetStandIn::start(options, runs.clone())
        })
        .collect::<Result<Vec<_>, _>>()?;
    let target_addrs: Vec<SocketAddr> = targets.iter().map(TargetStandIn::get_addr).collect();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let vm = LocalVm::start(Settings::new("vm1", any, any, any)).await?;
    vm.load(write_file(&target_addrs)).await?;
    let daemon_addrs = Arc::new(vec![vm.get_callers()]);
    let target_addrs = Arc::new(target_addrs);
    println!(
        "{:>7} {:<8} {:>8} {:>8} {:>8}",
        "calls/s", "path", "p50 ms", "p99 ms", "p99.9 ms"
    );
    for rate in RATES {
        run_calls(make_plan(rate, 2), target_addrs.clone()).await;
        run_calls(make_plan(rate, 2), daemon_addrs.clone()).await;
        let direct_table =
            CallResultTable::new(&run_calls(make_plan(rate, seconds), target_addrs.clone()).await);
        let before = get_cpu_ticks("vm-");
        let results = run_calls(make_plan(rate, seconds), daemon_addrs.clone()).await;
        let ticks = get_cpu_ticks("vm-") - before;
        let daemon_table = CallResultTable::new(&results);
        print_row(rate, "direct", &direct_table);
        print_row(rate, "daemon", &daemon_table);
        let added = get_quantile_ms(&daemon_table, 0.99) - get_quantile_ms(&direct_table, 0.99);
        println!(
            "{rate:>7} added    {:>8.3} {added:>8.3}           objective at p99: {OBJECTIVE_MS}",
            get_quantile_ms(&daemon_table, 0.5) - get_quantile_ms(&direct_table, 0.5)
        );
        let calls = (rate * seconds) as f64;
        println!(
            "{rate:>7} daemon   {:.0} us of processor time a call",
            ticks as f64 * TICK_US / calls
        );
    }
    Ok(())
}

/// Microseconds in one clock tick, the unit of CPU time in `/proc/self/task/*/stat`.
const TICK_US: f64 = 10_000.0;

/// Returns the CPU time, in clock ticks, of the threads whose name starts with
/// the prefix.
fn get_cpu_ticks(prefix: &str) -> u64 {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return 0;
    };
    tasks
        .flatten()
        .filter_map(|task| std::fs::read_to_string(task.path().join("stat")).ok())
        .filter_map(|stat| parse_cpu_ticks(&stat, prefix))
        .sum()
}

fn parse_cpu_ticks(stat: &str, prefix: &str) -> Option<u64> {
    let (head, rest) = stat.rsplit_once(") ")?;
    let name = head.split_once('(')?.1;
    if !name.starts_with(prefix) {
        return None;
    }
    // User and system time are the 14th and 15th fields, the state is the 3rd.
    let fields: Vec<&str> = rest.split(' ').collect();
    Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
}

fn get_quantile_ms(table: &CallResultTable, quantile: f64) -> f64 {
    table.get_quantile("call", quantile).unwrap_or(f64::NAN)
}

fn print_row(rate: u64, path: &str, table: &CallResultTable) {
    println!(
        "{rate:>7} {path:<8} {:>8.3} {:>8.3} {:>8.3}",
        get_quantile_ms(table, 0.5),
        get_quantile_ms(table, 0.99),
        get_quantile_ms(table, 0.999)
    );
}

fn make_plan(rate: u64, seconds: u64) -> Vec<CallPlan> {
    CallPlan::at_constant_rate("call", "/x", rate * seconds, rate)
}

fn write_file(addrs: &[SocketAddr]) -> String {
    let mut text = String::from(
        "[fleet]\nmax_vms = 1\n[service x]\npath = /\n\
         [class x.all]\npath = /\nkind = interactive\ndeadline = 1s\n",
    );
    for (index, addr) in addrs.iter().enumerate() {
        text.push_str(&format!(
            "[target x.t{index}]\naddress = {addr}\ndomain = d\nslots = 64\n"
        ));
    }
    text
}
