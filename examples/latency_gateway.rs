//! Measures the latency that a daemon on the platform adds, compared with direct
//! requests to the targets.
//!
//! `cargo run --release --example latency_gateway [-- --seconds 10]` sends the
//! same requests to stand-ins directly and through a daemon, alternately in one run.

use gentianridge_testkit::{
    CART, CallerConnection, FakeStore, FakeTarget, GatewayVm, TargetEntryValue, write_config,
};
use hdrhistogram::Histogram;
use pico_args::Arguments;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

const RATES: [u32; 3] = [50, 500, 2_000];
const TARGETS: usize = 8;
/// Connections over which the requests of one rate are spread.
const CALLERS: u32 = 16;
const DEFAULT_SECONDS: u32 = 10;
/// Objective for the added latency at the 99th percentile, in milliseconds.
const OBJECTIVE_MS: f64 = 0.51;

fn main() -> anyhow::Result<()> {
    let mut args = Arguments::from_env();
    let seconds: u32 = args
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

async fn run(seconds: u32) -> anyhow::Result<()> {
    let store = FakeStore::start().await?;
    store.put("op", "config", write_config(1, "").as_bytes());
    let mut targets = Vec::new();
    for index in 0..TARGETS {
        let target = FakeTarget::start(&format!("t{index}")).await?;
        target.set_work_time(Duration::ZERO);
        let entry = target.make_entry(&TargetEntryValue {
            service: CART.into(),
            zone: "d1".into(),
            is_draining: false,
            born: 1,
        });
        store.put("servers", target.get_id(), &entry);
        targets.push(target);
    }
    let vm = GatewayVm::start("vm-1", store.get_addr())?;
    vm.wait_ready().await?;
    let target_addrs: Vec<SocketAddr> = targets.iter().map(FakeTarget::get_addr).collect();
    let daemon_addrs = vec![vm.get_settings().callers];
    println!("requests/s  path     p50 ms   p99 ms   p99.9 ms");
    for rate in RATES {
        send_load(&daemon_addrs, rate, 1).await?;
        let direct_times = send_load(&target_addrs, rate, seconds).await?;
        let daemon_times = send_load(&daemon_addrs, rate, seconds).await?;
        print_row(rate, "direct", &direct_times);
        print_row(rate, "daemon", &daemon_times);
        println!(
            "{rate:>10}  added  {:>8.3} {:>8.3}   objective at p99: {OBJECTIVE_MS}",
            get_quantile_ms(&daemon_times, 0.5) - get_quantile_ms(&direct_times, 0.5),
            get_quantile_ms(&daemon_times, 0.99) - get_quantile_ms(&direct_times, 0.99)
        );
    }
    Ok(())
}

/// Sends requests at a rate over keep-alive connections; returns the times until
/// their answers in microseconds.
async fn send_load(
    addrs: &[SocketAddr],
    rate: u32,
    seconds: u32,
) -> anyhow::Result<Histogram<u64>> {
    let mut callers = JoinSet::new();
    for index in 0..CALLERS {
        let addr = addrs[index as usize % addrs.len()];
        callers.spawn(send_calls(addr, index, rate, seconds));
    }
    let mut all = Histogram::new(3)?;
    while let Some(ended) = callers.join_next().await {
        all.add(ended??)?;
    }
    Ok(all)
}

async fn send_calls(
    addr: SocketAddr,
    index: u32,
    rate: u32,
    seconds: u32,
) -> anyhow::Result<Histogram<u64>> {
    let mut connection = CallerConnection::open(addr).await?;
    let mut times = Histogram::new(3)?;
    let gap = Duration::from_secs(1) * CALLERS / rate;
    // The starts of the callers are spread evenly over one gap.
    let mut at = Instant::now() + gap * index / CALLERS;
    for count in 0..(rate * seconds / CALLERS).max(1) {
        tokio::time::sleep_until(at.into()).await;
        at += gap;
        let id = format!("{index}-{count}");
        let sent = Instant::now();
        let reply = connection.request("GET", "/look/x", &id).await?;
        anyhow::ensure!(reply.status == 200, "status {}", reply.status);
        times.record(sent.elapsed().as_micros() as u64)?;
    }
    Ok(times)
}

fn get_quantile_ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1_000.0
}

fn print_row(rate: u32, path: &str, times: &Histogram<u64>) {
    println!(
        "{rate:>10}  {path:<6} {:>8.3} {:>8.3} {:>10.3}",
        get_quantile_ms(times, 0.5),
        get_quantile_ms(times, 0.99),
        get_quantile_ms(times, 0.999)
    );
}
