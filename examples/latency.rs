//! Latency that one daemon adds, against calling the target directly.
//!
//! `cargo run --release --example latency [-- --seconds 10]` sends the same
//! calls to a stand-in directly and through a daemon, in the same run.

use gentianridge_config::Settings;
use gentianridge_testkit::{
    CallPlan, LoadReportTable, LocalVm, RunLog, ServiceTime, TargetOptions, TargetStandIn,
    run_calls,
};
use pico_args::Arguments;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const RATES: [u64; 2] = [500, 2_000];
const TARGETS: usize = 4;
const DEFAULT_SECONDS: u64 = 10;
/// Target of the added latency at the 99th percentile, in milliseconds.
const WANTED_MS: f64 = 0.51;

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
    let direct: Vec<SocketAddr> = targets.iter().map(TargetStandIn::get_addr).collect();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let vm = LocalVm::start(Settings::new("vm1", any, any, any)).await?;
    vm.load(write_file(&direct)).await?;
    let through = Arc::new(vec![vm.get_callers()]);
    let direct = Arc::new(direct);
    println!(
        "{:>7} {:<8} {:>8} {:>8} {:>8}",
        "calls/s", "path", "p50 ms", "p99 ms", "p99.9 ms"
    );
    for rate in RATES {
        run_calls(make_plan(rate, 2), direct.clone()).await;
        run_calls(make_plan(rate, 2), through.clone()).await;
        let alone =
            LoadReportTable::new(&run_calls(make_plan(rate, seconds), direct.clone()).await);
        let before = cpu_ticks("vm-");
        let behind = run_calls(make_plan(rate, seconds), through.clone()).await;
        let ticks = cpu_ticks("vm-") - before;
        let behind = LoadReportTable::new(&behind);
        show(rate, "direct", &alone);
        show(rate, "daemon", &behind);
        let added = at(&behind, 0.99) - at(&alone, 0.99);
        println!(
            "{rate:>7} added    {:>8.3} {added:>8.3}           wanted at p99: {WANTED_MS}",
            at(&behind, 0.5) - at(&alone, 0.5)
        );
        let calls = (rate * seconds) as f64;
        println!(
            "{rate:>7} daemon   {:.0} us of processor time a call",
            ticks as f64 * TICK_MICROS / calls
        );
    }
    Ok(())
}

/// Microseconds of one tick in the kernel's account of threads.
const TICK_MICROS: f64 = 10_000.0;

/// Processor time of the threads whose name starts with the prefix.
fn cpu_ticks(prefix: &str) -> u64 {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return 0;
    };
    tasks
        .flatten()
        .filter_map(|task| std::fs::read_to_string(task.path().join("stat")).ok())
        .filter_map(|stat| ticks_of(&stat, prefix))
        .sum()
}

fn ticks_of(stat: &str, prefix: &str) -> Option<u64> {
    let (head, rest) = stat.rsplit_once(") ")?;
    let name = head.split_once('(')?.1;
    if !name.starts_with(prefix) {
        return None;
    }
    // User and system time are the 14th and 15th fields, the state is the 3rd.
    let fields: Vec<&str> = rest.split(' ').collect();
    Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
}

fn at(table: &LoadReportTable, quantile: f64) -> f64 {
    table.get_quantile("call", quantile).unwrap_or(f64::NAN)
}

fn show(rate: u64, path: &str, table: &LoadReportTable) {
    println!(
        "{rate:>7} {path:<8} {:>8.3} {:>8.3} {:>8.3}",
        at(table, 0.5),
        at(table, 0.99),
        at(table, 0.999)
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
